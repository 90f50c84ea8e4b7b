package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// drainLimit is the time after which a draining leaf must get no more requests: 3 s, plus 1 s for delays of the test
	// machine.
	drainLimit = 4 * time.Second
	// outOfServiceLimit is the time after which a data centre that was taken out of service must get no more requests.
	outOfServiceLimit = 6 * time.Second
	// lostCoreAllowance is the longest time by which the loss of most control instances extends outOfServiceLimit.
	lostCoreAllowance = 12 * time.Second
	// staleReadLimit is the age from which an acknowledged document must be returned by every read.
	staleReadLimit = 4 * time.Second
	// regressionLimit is how long an instance may still use an older document after it used a newer one.
	regressionLimit = 500 * time.Millisecond
	maxViolations   = 20
)

// refusals are the statuses that promise that a request was not executed and never will be.
var refusals = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

type (
	// checker checks the guarantees of the product from what callers, leafs and the operator observe.
	checker struct {
		mu        sync.Mutex
		startedAt time.Time
		// executions, requests and refusedIDs are keyed by request ID.
		executions map[string]int
		requests   map[string]sentRequest
		// rollouts holds the newest roll-out of each service, and allRollouts all of them.
		rollouts    map[string]*judgedRollout
		allRollouts []*judgedRollout
		// coreUnstableAt is when a control instance was last lost.
		coreUnstableAt time.Time
		// entryFault reports whether an entry instance has had an unplanned fault within contactWindow.
		entryFault func(now time.Time) bool
		refusedIDs map[string]bool
		// drainingSince is keyed by leaf ID, outOfServiceSince by data centre.
		drainingSince     map[string]time.Time
		outOfServiceSince map[string]time.Time
		// coreLostFor is, by data centre that is out, for how long most control instances were lost since the order.
		coreLostFor  map[string]time.Duration
		acknowledged []acknowledgement
		// newestInUse is keyed by the name of a run of an instance.
		newestInUse map[string]observedVersion
		// limits are the rate limits that leafs state, keyed by leaf ID.
		limits       map[string]*judgedLimit
		reachability reachability
		// tenants is nil in runs whose documents have none.
		tenants *tenantBook
		// cutProcesses are the instances that are cut off from the leafs, cutCount their number and cutEndedAt the end of the last cut.
		cutProcesses map[*process]bool
		cutCount     int
		cutEndedAt   time.Time
		rests        map[leafAndRun]*judgedRest
		leavingSince map[leafAndRun]time.Time
		// runs holds what reached leafs, keyed by request ID; openRuns are those that leafs still have.
		runs        map[string][]*leafRun
		openRuns    map[*leafRun]bool
		cutRequests []cutRequest
		lostCount   int
		// unreadCount is the number of requests excused because their instance closed the connection before it had read them.
		unreadCount  int
		violations   []string
		servedCount  int
		partialCount int
		refusedCount int
		failedCount  int
		broken       brokenCount
	}

	sentRequest struct {
		method, target string
		body           []byte
		atMostOnce     bool
		// services are the ones that may execute the request.
		services []string
		// entry is the instance that the request is sent to.
		entry *process
		// limit is the shorter one of the caller's time limit and the route's timeout.
		limit time.Duration
	}

	acknowledgement struct {
		version        uint64
		acknowledgedAt time.Time
	}

	observedVersion struct {
		version    uint64
		observedAt time.Time
	}
)

func newChecker() *checker {
	return &checker{
		startedAt: time.Now(), executions: map[string]int{}, rollouts: map[string]*judgedRollout{}, requests: map[string]sentRequest{}, refusedIDs: map[string]bool{},
		drainingSince: map[string]time.Time{}, outOfServiceSince: map[string]time.Time{}, newestInUse: map[string]observedVersion{},
		cutProcesses: map[*process]bool{}, rests: map[leafAndRun]*judgedRest{}, leavingSince: map[leafAndRun]time.Time{},
		limits: map[string]*judgedLimit{}, coreLostFor: map[string]time.Duration{},
		runs: map[string][]*leafRun{}, openRuns: map[*leafRun]bool{}, broken: brokenCount{},
	}
}

func (c *checker) reportViolation(format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%6.2f s  ", time.Since(c.startedAt).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (c *checker) recordRequest(id string, request sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[id] = request
}

// checkExecution checks that a leaf executes only requests that a caller sent, unchanged, at most once where that is
// required, and none later than drainLimit after the leaf started draining or outOfServiceLimit after its data centre was
// taken out of service.
func (c *checker) checkExecution(l *leaf, id, method, target string, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, isKnown := c.requests[id]
	switch {
	case !isKnown:
		c.reportViolation("leaf %s executed request %q, which no caller sent", l.id, id)
	case request.method != method || request.target != target || !bytes.Equal(request.body, body):
		c.reportViolation("request %s reached the leaf changed: got %s %s with %d bytes", id, method, target, len(body))
	}
	if isKnown && !contains(request.services, l.service) {
		c.reportViolation("leaf %s of service %s executed request %s, which is for services %v", l.id, l.service, id, request.services)
	}
	c.executions[id]++
	if isKnown && request.atMostOnce && c.executions[id] > 1 {
		c.reportViolation("request %s was executed %d times, want at most 1", id, c.executions[id])
	}
	if request.atMostOnce && c.refusedIDs[id] {
		c.reportViolation("request %s was executed after its caller was told that it was not", id)
	}
	if since, ok := c.drainingSince[l.id]; ok && time.Since(since) > drainLimit {
		c.reportViolation("leaf %s got request %s %v after it started draining", l.id, id, time.Since(since))
	}
	c.checkLeaving(l.id, id)
	if since, ok := c.outOfServiceSince[l.zone]; ok && time.Since(since) > c.outOfServiceLimitOf(l.zone) {
		c.reportViolation("leaf %s in data centre %s got request %s %v after the data centre was taken out of service", l.id, l.zone, id, time.Since(since))
	}
}

// outOfServiceLimitOf returns the limit for a data centre that is out of service. It is extended by the time for which most control
// instances were lost since the order, as no majority could tell the entry instances then.
func (c *checker) outOfServiceLimitOf(zone string) time.Duration {
	return outOfServiceLimit + min(lostCoreAllowance, c.coreLostFor[zone])
}

// recordLostCore records that most control instances were lost for the given time until now.
func (c *checker) recordLostCore(elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for zone := range c.outOfServiceSince {
		c.coreLostFor[zone] += elapsed
	}
}

func (c *checker) recordDraining(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[id] = time.Now()
}

func (c *checker) recordOutOfService(zone string, isOut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.outOfServiceSince, zone)
	delete(c.coreLostFor, zone)
	if isOut {
		c.outOfServiceSince[zone] = time.Now()
	}
}

// checkResponse checks a response that a caller received; shards is nil unless the request is a query of several shards.
func (c *checker) checkResponse(id string, request sentRequest, shards []string, minParts, topK int, response *http.Response, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got := response.Header.Get("X-Lovagedeck-Request-Id"); got != "" && got != id {
		c.reportViolation("request %s got the response of request %s", id, got)
	}
	c.checkBroken(id, response)
	switch status := response.StatusCode; {
	case status == http.StatusOK && shards == nil:
		c.servedCount++
		c.checkSingleResponse(id, response, body)
	case status == http.StatusOK:
		c.servedCount++
		c.checkMergedResponse(id, shards, minParts, topK, response, body)
	case contains(refusals, status):
		c.refusedCount++
		c.refusedIDs[id] = true
		if request.atMostOnce && c.executions[id] > 0 {
			c.reportViolation("request %s was refused as not executed, but a leaf had executed it", id)
		}
	case status == http.StatusNotFound:
		c.reportViolation("request %s got status 404 on a route that every document has", id)
	default:
		c.failedCount++
	}
}

func (c *checker) checkSingleResponse(id string, response *http.Response, body []byte) {
	stamp := response.Header.Get("X-Lovagedeck-Server-Stamp")
	if !strings.HasSuffix(stamp, "."+id) || !bytes.Equal(body, partForStamp(stamp)) {
		c.reportViolation("request %s got a body that does not match server stamp %q", id, stamp)
	}
	if c.executions[id] == 0 {
		c.reportViolation("request %s got a response, but no leaf executed it", id)
	}
}

func (c *checker) checkMergedResponse(id string, shards []string, minParts, topK int, response *http.Response, body []byte) {
	stamps := strings.Split(response.Header.Get("X-Lovagedeck-Part-Stamps"), ", ")
	missing := 0
	_, _ = fmt.Sscan(response.Header.Get("X-Lovagedeck-Missing-Parts"), &missing)
	if missing > 0 {
		c.partialCount++
	}
	if len(stamps)+missing != len(shards) || len(stamps) < minParts {
		c.reportViolation("response to request %s has %d parts and %d missing, want %d in total and enough parts for the minimum coverage", id, len(stamps), missing, len(shards))
	}
	seen := map[string]bool{}
	var records [][]byte
	for _, stamp := range stamps {
		service, _, _ := strings.Cut(stamp, ".")
		if seen[service] || !strings.HasSuffix(stamp, "."+id) || !contains(shards, service) {
			c.reportViolation("response to request %s has the unexpected or repeated part stamp %q", id, stamp)
		}
		seen[service] = true
		for part := partForStamp(stamp); len(part) >= 16; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	sort.Slice(records, func(a, b int) bool { return bytes.Compare(records[a], records[b]) > 0 })
	if want := bytes.Join(records[:min(topK, len(records))], nil); !bytes.Equal(body, want) {
		c.reportViolation("response to request %s does not contain the top records of its parts", id)
	}
}

func (c *checker) recordAcknowledgement(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = append(c.acknowledged, acknowledgement{version: version, acknowledgedAt: time.Now()})
}

// minVersionToRead returns the lowest version that a read sent now may return: the newest one acknowledged at least minAge
// ago.
func (c *checker) minVersionToRead(minAge time.Duration) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest := uint64(0)
	for _, ack := range c.acknowledged {
		if time.Since(ack.acknowledgedAt) >= minAge {
			newest = max(newest, ack.version)
		}
	}
	return newest
}

func (c *checker) checkRead(instance string, version, minVersion uint64) {
	if version >= minVersion {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation("%s returned version %d, want at least the acknowledged version %d", instance, version, minVersion)
}

// checkVersionInUse checks that one run of an instance, which uses the given version now, does not go back to an older one.
func (c *checker) checkVersionInUse(runName string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.newestInUse[runName]
	if version < last.version && time.Since(last.observedAt) > regressionLimit {
		c.reportViolation("%s uses version %d after it used version %d", runName, version, last.version)
	}
	if version > last.version {
		c.newestInUse[runName] = observedVersion{version: version, observedAt: time.Now()}
	}
}

func (c *checker) reportTruncatedResponse(id string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolation("response to request %s was truncated during a graceful shutdown: %v", id, cause)
}

func (c *checker) countFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedCount++
}

func contains[T comparable](values []T, value T) bool {
	for _, candidate := range values {
		if candidate == value {
			return true
		}
	}
	return false
}
