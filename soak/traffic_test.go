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
	callersPerEntry = 4
	callPause       = 25 * time.Millisecond
	callTime        = 1500 * time.Millisecond
	operatorPause   = 250 * time.Millisecond
	ackTime         = 5 * time.Second
	top             = 9
	plainHost       = "plain.example"
)

var shardNames = []string{"s1", "s2", "s3", "s4", "s5", "s6"}

type (
	// traffic is the callers and the operator of one run.
	traffic struct {
		stage *stage
		// shards are the services of a query.
		shards  []string
		seed    uint64
		stop    chan bool
		group   sync.WaitGroup
		mu      sync.Mutex
		lastID  int
		version uint64
		bodies  map[uint64]string
	}
)

func newTraffic(s *stage, seed uint64) *traffic {
	return &traffic{stage: s, shards: shardNames, seed: seed, stop: make(chan bool), bodies: map[uint64]string{}}
}

func (tr *traffic) start() {
	for i, p := range tr.stage.entries() {
		for k := range callersPerEntry {
			random := rand.New(rand.NewPCG(tr.seed, uint64(i*100+k)))
			tr.group.Go(func() { tr.call(p, random) })
		}
	}
	tr.group.Go(tr.operate)
}

func (tr *traffic) end() {
	close(tr.stop)
	tr.group.Wait()
}

func (tr *traffic) stopped() bool {
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

// call keeps one connection and uses it until the process is gone.
func (tr *traffic) call(p *process, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: callTime + time.Second}
	defer client.CloseIdleConnections()
	for !tr.stopped() {
		switch random.IntN(10) {
		case 0:
			tr.probe(client, p)
		case 1, 2, 3:
			tr.request(client, p, "POST", "/once/", nil, true, random)
		case 4:
			tr.request(client, p, "GET", "/safe/", nil, false, random)
		default:
			tr.request(client, p, "GET", "/sweep/", tr.shards, false, random)
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * callPause))))
	}
}

func (tr *traffic) request(client *http.Client, p *process, method, path string, shards []string, once bool, random *rand.Rand) {
	id := tr.newID()
	target := fmt.Sprintf("%s%d%%2Fx/../y?q=%d", path, random.IntN(1000), random.IntN(1000))
	var body []byte
	if once {
		body = bytes.Repeat([]byte{byte('a' + random.IntN(26))}, random.IntN(20_000))
	}
	services := shards
	if shards == nil {
		services = []string{strings.Trim(path, "/")}
	}
	sent := sentRequest{method: method, target: target, body: body, once: once, services: services}
	tr.stage.judge.onSend(id, sent)
	request, err := http.NewRequest(method, "http://"+p.front+target, bytes.NewReader(body))
	if err != nil {
		tr.stage.t.Errorf("build a request: %v", err)
		return
	}
	// The target goes out byte for byte.
	request.URL = &url.URL{Scheme: "http", Host: p.front, Opaque: target}
	request.Host = plainHost
	request.Header.Set("X-Lovagedeck-Request-Id", id)
	request.Header.Set("X-Lovagedeck-Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		tr.stage.judge.onLost()
		return
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		if p.isStopping() && p.calmFor() < graceTime {
			tr.stage.judge.onCut(id, err)
		}
		return
	}
	tr.stage.judge.onAnswer(id, sent, shards, minParts, top, response, content)
}

const minParts = 4

// probe asks for the route that only one version of the document has.
func (tr *traffic) probe(client *http.Client, p *process) {
	tr.mu.Lock()
	newest := tr.version
	tr.mu.Unlock()
	for version := newest; version > 0 && version+3 > newest; version-- {
		boot := p.boot()
		request, err := http.NewRequest(http.MethodGet, "http://"+p.front+"/probe/", nil)
		if err != nil {
			return
		}
		request.Host = fmt.Sprintf("v%d.example", version)
		id := tr.newID()
		tr.stage.judge.onSend(id, sentRequest{method: "GET", target: "/probe/", services: []string{"safe"}})
		request.Header.Set("X-Lovagedeck-Request-Id", id)
		request.Header.Set("X-Lovagedeck-Deadline-Ms", "300")
		response, err := client.Do(request)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && boot == p.boot() {
			tr.stage.judge.onActed(boot, version)
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
		route("sweep", plainHost, "/sweep/", "safe", fmt.Sprintf(`"fanoutServices":[%s],"topK":%d,"minCoverage":0.6`, shards[:len(shards)-1], top)),
		route("probe", fmt.Sprintf("v%d.example", version), "/probe/", "safe", `"service":"safe"`),
		services[:len(services)-1])
}

// operate changes the document again and again, at any control instance, and reads it back.
func (tr *traffic) operate() {
	random := rand.New(rand.NewPCG(tr.seed, 999))
	for !tr.stopped() {
		tr.put(random)
		tr.read(tr.stage.controls()[random.IntN(controlCount)])
		time.Sleep(time.Duration(random.Int64N(int64(2 * operatorPause))))
	}
}

// put sends the next version until it is acknowledged, to one instance after the other.
func (tr *traffic) put(random *rand.Rand) bool {
	tr.mu.Lock()
	tr.version += 1 + random.Uint64N(3)
	version := tr.version
	body := tr.document(version)
	tr.bodies[version] = body
	tr.mu.Unlock()
	begun := time.Now()
	for time.Since(begun) < ackTime && !tr.stopped() {
		if tr.post(tr.stage.controls()[random.IntN(controlCount)], "/-/Config.Put", body) {
			tr.stage.judge.onAck(version)
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (tr *traffic) post(p *process, path, body string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+p.control+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if response.StatusCode >= 400 && response.StatusCode < 500 {
		tr.stage.t.Errorf("%s refused a proper order %s with %d", p.name, path, response.StatusCode)
	}
	return response.StatusCode == http.StatusOK
}

// read checks that an instance that answers knows what was acknowledged a while ago, as it was sent.
func (tr *traffic) read(p *process) (version uint64, answered bool) {
	atLeast := tr.stage.judge.oldestAllowed(staleBound)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.control + "/-/Config.Get")
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
	want := tr.bodies[version]
	tr.mu.Unlock()
	if string(content) != want {
		tr.stage.t.Errorf("%s reads version %d back with other content", p.name, version)
	}
	tr.stage.judge.onRead(p.name, version, atLeast)
	return version, true
}
