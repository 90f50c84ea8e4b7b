package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

const (
	callersPerEntry   = 4
	meanCallPause     = 25 * time.Millisecond
	callTimeout       = 1500 * time.Millisecond
	meanOperatorPause = 250 * time.Millisecond
	putTimeout        = 5 * time.Second
	topK              = 9
	plainHost         = "plain.example"
)

var shardNames = []string{"s1", "s2", "s3", "s4", "s5", "s6"}

type (
	// traffic runs the callers and the operator of one test run.
	traffic struct {
		deployment *deployment
		// shards are the services that a query is fanned out to.
		shards      []string
		seed        uint64
		stop        chan bool
		workers     sync.WaitGroup
		mu          sync.Mutex
		lastID      int
		lastVersion uint64
		documents   map[uint64]string
	}
)

func newTraffic(d *deployment, seed uint64) *traffic {
	return &traffic{deployment: d, shards: shardNames, seed: seed, stop: make(chan bool), documents: map[uint64]string{}}
}

func (tr *traffic) start() {
	for i, p := range tr.deployment.entries() {
		for k := range callersPerEntry {
			random := rand.New(rand.NewPCG(tr.seed, uint64(i*100+k)))
			tr.workers.Go(func() { tr.runCaller(p, random) })
		}
	}
	tr.workers.Go(tr.runOperator)
}

func (tr *traffic) finish() {
	close(tr.stop)
	tr.workers.Wait()
}

func (tr *traffic) isStopped() bool {
	select {
	case <-tr.stop:
		return true
	default:
		return false
	}
}

func (tr *traffic) newID() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.lastID++
	return fmt.Sprintf("r%d-%06d", tr.seed, tr.lastID)
}

// runCaller sends requests of random kinds over one kept connection until the traffic stops.
func (tr *traffic) runCaller(p *process, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTimeout + time.Second}
	defer client.CloseIdleConnections()
	for !tr.isStopped() {
		switch random.IntN(10) {
		case 0:
			tr.probeVersionInUse(client, p)
		case 1, 2, 3:
			tr.sendRequest(client, p, "POST", "/once/", nil, true, random)
		case 4:
			tr.sendRequest(client, p, "GET", "/safe/", nil, false, random)
		default:
			tr.sendRequest(client, p, "GET", "/sweep/", tr.shards, false, random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanCallPause))))
	}
}

func (tr *traffic) sendRequest(client *http.Client, p *process, method, path string, shards []string, atMostOnce bool, random *rand.Rand) {
	id := tr.newID()
	target := fmt.Sprintf("%s%d%%2Fx/../y?q=%d", path, random.IntN(1000), random.IntN(1000))
	var body []byte
	if atMostOnce {
		body = bytes.Repeat([]byte{byte('a' + random.IntN(26))}, random.IntN(20_000))
	}
	services := shards
	if shards == nil {
		services = []string{strings.Trim(path, "/")}
	}
	sent := sentRequest{method: method, target: target, body: body, atMostOnce: atMostOnce, services: services, entry: p}
	tr.deployment.checker.recordRequest(id, sent)
	request, err := http.NewRequest(method, "http://"+p.frontAddress+target, bytes.NewReader(body))
	if err != nil {
		tr.deployment.t.Errorf("create a request: %v", err)
		return
	}
	// Opaque sends the target unchanged; the URL would otherwise be normalized.
	request.URL = &url.URL{Scheme: "http", Host: p.frontAddress, Opaque: target}
	request.Host = plainHost
	request.Header.Set("X-Lovagedeck-Request-Id", id)
	request.Header.Set("X-Lovagedeck-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	isServed := false
	if wasCut := p.isCut(); wasCut || p.isUncut() && tr.deployment.hasCutEntry() {
		defer func() { tr.deployment.checker.recordOutcome(wasCut, isServed) }()
	}
	response, err := client.Do(request)
	if err != nil {
		tr.deployment.checker.countFailure()
		return
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		if p.isTerminating() && p.timeSinceFault() < gracePeriod {
			tr.deployment.checker.reportTruncatedResponse(id, err)
		}
		return
	}
	isServed = response.StatusCode == http.StatusOK
	tr.deployment.checker.checkResponse(id, sent, shards, minParts, topK, response, content)
}

const minParts = 4

// probeVersionInUse finds out which version of the document an entry instance uses, by requests to routes that exist in one
// version only.
func (tr *traffic) probeVersionInUse(client *http.Client, p *process) {
	tr.mu.Lock()
	newest := tr.lastVersion
	tr.mu.Unlock()
	for version := newest; version > 0 && version+3 > newest; version-- {
		runName := p.runName()
		request, err := http.NewRequest(http.MethodGet, "http://"+p.frontAddress+"/probe/", nil)
		if err != nil {
			return
		}
		request.Host = fmt.Sprintf("v%d.example", version)
		id := tr.newID()
		tr.deployment.checker.recordRequest(id, sentRequest{method: "GET", target: "/probe/", services: []string{"safe"}, entry: p})
		request.Header.Set("X-Lovagedeck-Request-Id", id)
		request.Header.Set("X-Lovagedeck-Deadline-Ms", "300")
		response, err := client.Do(request)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && runName == p.runName() {
			tr.deployment.checker.checkVersionInUse(runName, version)
			return
		}
	}
}

func (tr *traffic) document(version uint64) string {
	services, shards := "", ""
	for _, name := range append([]string{"once", "safe"}, tr.shards...) {
		services += fmt.Sprintf(`{"name":%q,"maxConnections":40},`, name)
	}
	for _, name := range tr.shards {
		shards += fmt.Sprintf("%q,", name)
	}
	route := func(name, host, prefix, kind, rest string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":%q,"timeoutMs":1400,"targetLatencyMs":150,"maxAttempts":2,%s}`,
			name, host, prefix, kind, rest)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"services":[%s],"limits":{"maxBodyBytes":262144}}`, version,
		route("once", plainHost, "/once/", "unsafe", `"service":"once"`),
		route("safe", plainHost, "/safe/", "safe", `"service":"safe"`),
		route("sweep", plainHost, "/sweep/", "safe", fmt.Sprintf(`"fanoutServices":[%s],"topK":%d,"minCoverage":0.6`, shards[:len(shards)-1], topK)),
		route("probe", fmt.Sprintf("v%d.example", version), "/probe/", "safe", `"service":"safe"`),
		services[:len(services)-1])
}

// runOperator repeatedly changes the document and reads it back, each at a random control instance.
func (tr *traffic) runOperator() {
	random := rand.New(rand.NewPCG(tr.seed, 999))
	for !tr.isStopped() {
		tr.putDocument(random)
		tr.readDocument(tr.deployment.controls()[random.IntN(controlCount)])
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanOperatorPause))))
	}
}

// putDocument sends the next version to random control instances until one acknowledges it, and reports whether one did
// within putTimeout.
func (tr *traffic) putDocument(random *rand.Rand) bool {
	tr.mu.Lock()
	tr.lastVersion += 1 + random.Uint64N(3)
	version := tr.lastVersion
	body := tr.document(version)
	tr.documents[version] = body
	tr.mu.Unlock()
	startedAt := time.Now()
	for time.Since(startedAt) < putTimeout && !tr.isStopped() {
		if tr.post(tr.deployment.controls()[random.IntN(controlCount)], "/-/Config.Put", body) {
			tr.deployment.checker.recordAcknowledgement(version)
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (tr *traffic) post(p *process, path, body string) bool {
	return tr.postTo(p.controlAddress, p.name, path, body)
}

// postTo sends an order to the address of a control instance and reports whether it was acknowledged within a second.
func (tr *traffic) postTo(address, name, path, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		tr.deployment.t.Errorf("%s answered the valid request %s with status %d", name, path, response.StatusCode)
	}
	return response.StatusCode == http.StatusOK
}

// readDocument reads the document from an instance. If it answers, the content must be as sent, and the version must not be
// older than any acknowledged staleReadLimit ago or earlier.
func (tr *traffic) readDocument(p *process) (version uint64, answered bool) {
	minVersion := tr.deployment.checker.minVersionToRead(staleReadLimit)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.controlAddress + "/-/Config.Get")
	if err != nil {
		return 0, false
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, false
	}
	_, _ = fmt.Sscanf(string(content), `{"version":%d`, &version)
	tr.mu.Lock()
	want := tr.documents[version]
	tr.mu.Unlock()
	if string(content) != want {
		tr.deployment.t.Errorf("%s returned version %d with content that differs from what was sent", p.name, version)
	}
	tr.deployment.checker.checkRead(p.name, version, minVersion)
	return version, true
}
