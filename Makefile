GO ?= go
PACKAGES = ./cmd/... ./pkg/...

.PHONY: build demo check format lint test spec bench soak

build:
	$(GO) build -o bin/ ./cmd/...

demo: build
	bin/lovagedeck demo

check: format lint test spec

format:
	@unformatted="$$($(GO) tool gofumpt -l cmd pkg)"; \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

lint:
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)
	$(GO) tool revive -config revive.toml -set_exit_status $(PACKAGES)

test:
	$(GO) test $(PACKAGES)

spec:
	sh spec/check.sh
