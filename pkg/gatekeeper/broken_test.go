package gatekeeper

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"lovagedeck/pkg/aggregator"
	"lovagedeck/pkg/router"
)

// brokenAnswer is an answer of a leaf in trouble. No caller may get it.
type brokenAnswer struct {
	name string
	head string
	body string
}

// newBrokenAnswers returns answers that name request r-1.
func newBrokenAnswers() []brokenAnswer {
	const lines = "Request-Id: r-1\r\nProof: proof-of-cut\r\nContent-Length: 16\r\n\r\n"
	var answers []brokenAnswer
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		answers = append(answers, brokenAnswer{"status " + status, "HTTP/1.1 " + status + " OK\r\n" + lines, cutBody})
	}
	for _, status := range []string{"099", "101"} {
		answers = append(answers, brokenAnswer{"status " + status + " before another answer", "HTTP/1.1 " + status + " Hint\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + lines, cutBody})
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/2"} {
		answers = append(answers, brokenAnswer{"version " + version, version + " 200 OK\r\n" + lines, cutBody})
	}
	answers = append(answers, brokenAnswer{"chunks in HTTP/1.0", strings.Replace(cutHead, "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n" + cutBody + "\r\n0\r\n\r\n"})
	for _, line := range []string{"Content-Type: a", "Content-Encoding: a", "Server: a", "X-Note: a", "Set-Cookie: a=b"} {
		other := "HTTP/1.1 500 Fault\r\n" + line + "\r\n" + lines
		answers = append(answers, brokenAnswer{fmt.Sprintf("broken off in %q by another answer", line), cutHead + line + other, cutBody})
	}
	for _, reason := range []string{"O\rK", "O\x00K", "O\x7fK", "\rX-Note: 1"} {
		answers = append(answers, brokenAnswer{fmt.Sprintf("reason %q", reason), "HTTP/1.1 200 " + reason + "\r\n" + lines, cutBody})
	}
	for _, line := range []string{
		"X-Note: a\rX-Odd: 1", "X-Note: a\x00", "X-Note: \x7f",
		"X Note: 1", "X-Note : 1", "X\tNote: 1", "X\x01Note: 1", "X-Note\x7f: 1", "\nX-Note: 1", "Content Length: 3", "Content-Length : 3", "Transfer Encoding: chunked", "Transfer-Encoding : chunked",
		" X-Odd: 1", "\tX-Odd: 1", " ", " Content-Length: 3", "\tContent-Length: 3", " Transfer-Encoding: chunked", "\tTransfer-Encoding: chunked",
	} {
		answers = append(answers, brokenAnswer{fmt.Sprintf("line %q", line), cutHead + line + "\r\nContent-Length: 16\r\n\r\n", cutBody},
			brokenAnswer{fmt.Sprintf("line %q before chunks", line), cutHead + line + "\r\n\r\n", "10\r\n" + cutBody + "\r\n0\r\n\r\n"},
			brokenAnswer{fmt.Sprintf("line %q in an interim head", line), "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\n" + cutHead + "Content-Length: 16\r\n\r\n", cutBody})
	}
	return answers
}

// text returns the answer to a request with the given method.
func (a brokenAnswer) text(method string) string {
	if method == http.MethodHead {
		return a.head
	}
	return a.head + a.body
}

// Operators saw leafs in trouble send answers with the status 000, or with a blank or a control byte in the name of a field. Callers got
// them with the status 200.
func TestBrokenAnswersDoNotReachCallers(t *testing.T) {
	for _, test := range callerRequests {
		for _, end := range []string{"close", "reset", "silence"} {
			t.Run(test.name+", "+end, func(t *testing.T) {
				t.Parallel()
				tier := newCutTier(t, test.fields, "s00", "s01")
				for _, answer := range newBrokenAnswers() {
					tier.cutFirst(answer.text(test.method), end)
					tier.checkCutRequest(test.method, test.fields, answer.name)
				}
			})
		}
	}
}

// Leafs send such answers to an instance that serves requests of another instance's callers, or gathers shards for it.
func TestBrokenAnswersDoNotReachOtherInstances(t *testing.T) {
	shards := shardNames(6)
	t.Run("relayed", func(t *testing.T) {
		t.Parallel()
		g := newCluster(t, relayInstances, "s00")
		for _, isIdempotent := range []bool{true, false} {
			fields := cardRoute(isIdempotent)
			fields.Timeout = time.Second
			g.configure(t, fields)
			for i, answer := range newBrokenAnswers() {
				g.cutFirst(answer.text(http.MethodGet), "close")
				g.checkRelayed(t, fields, uint64(i+1), answer.name)
			}
		}
	})
	t.Run("gathered", func(t *testing.T) {
		t.Parallel()
		g := newGathererCluster(t, shards...)
		g.configure(t, sweepRoute(shards))
		for _, answer := range newBrokenAnswers() {
			g.cutFirst(answer.text(http.MethodPost), "close")
			g.checkGathered(t, shards, answer.name)
		}
		if g.slicesGathered() == 0 {
			t.Error("no shards were gathered by other instances")
		}
	})
}

// checkRelayed has the second instance serve a request of the first one whose first answer is broken.
func (g *gathererCluster) checkRelayed(t *testing.T, fields router.RouteFields, id uint64, what string) {
	t.Helper()
	reply := g.gates[1].ServeRelayed(aggregator.RelayQuery{
		ID: id, From: "entry-1", Request: "r-1", Head: []byte("GET /p/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-1\r\n"), Route: fields, CallerLeft: time.Second,
	})
	response := &responseBuffer{header: http.Header{}}
	g.gate.writeRelayed(response, &inboundRequest{id: "r-1", route: router.NewRoute(fields)}, reply, false)
	proof, length := response.header.Get("Proof"), response.header.Get("Content-Length")
	isSound := response.status == http.StatusOK && string(response.body) == soundBody && strings.HasPrefix(proof, "proof-of-s00") && length == "16"
	isRefused := response.status == http.StatusBadGateway && proof == "" && g.runs() == 1
	if fields.Idempotent && !isSound || !fields.Idempotent && !isRefused {
		t.Errorf("idempotent %v, %s: got %+v after %d runs", fields.Idempotent, what, response, g.runs())
	}
}

// checkGathered sends a query to the first instance whose first answer for each shard is broken.
func (g *gathererCluster) checkGathered(t *testing.T, shards []string, what string) {
	t.Helper()
	response, body := g.request(http.MethodPost, "/p/x", nil)
	if response == nil || response.StatusCode != http.StatusOK || string(body) != strings.Repeat(soundBody, 3) || strings.Contains(response.Header.Get("Proofs"), "cut") ||
		response.Header.Get("Missing-Parts") != "0" || strings.Count(response.Header.Get("Proofs"), "proof-of-") != len(shards) {
		t.Errorf("%s: got %v with body %q", what, response, body)
	}
}
