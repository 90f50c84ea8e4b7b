// Command heads lets a crowd of clients send heads of many short lines without end to one entry instance, and watches its memory.
// With LINES=long the heads have as many bytes in lines of ordinary length, and with TROUBLE=0 there is no crowd.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"lovagedeck/review/standin2/stage"
)

const (
	// memoryMB is the memory of the machine, as in the settings file.
	memoryMB  = 284
	crowdSize = 400
	watchTime = 20 * time.Second
	watchStep = 500 * time.Millisecond
	// Each client sends pieceBytes in a pause, so that a head of 64 KB takes 3 s.
	piecePause = 200 * time.Millisecond
	pieceBytes = 4000
	// longLineBytes is the length of a line with LINES=long.
	longLineBytes = 1000
	// firstName gives names of four letters and digits to the lines.
	firstName = 36 * 36 * 36
	// requestTime is the time limit of the ordinary requests.
	requestTime = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := stage.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return stage.NotRun
	}
	defer record.Close()
	s, err := stage.New(record, stage.Options{Controls: 1, Entries: 1})
	if err != nil {
		record.Print("cannot prepare: %v", err)
		return stage.NotRun
	}
	defer s.Close()
	if _, err := s.NewLeaf("kafi81c", "inv-a", "i-1", s.Address(3, 1), 5*time.Millisecond); err != nil {
		record.Print("cannot start the leaf: %v", err)
		return stage.NotRun
	}
	document := stage.Document(7, []map[string]any{stage.Route("r-1", "/timi402/", "safe", "kafi81c", 2)}, []map[string]any{stage.Service("kafi81c")})
	if err := s.Start(document); err != nil {
		record.Print("cannot start: %v", err)
		return stage.NotRun
	}
	entry := s.Entries[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	if os.Getenv("TROUBLE") != "0" {
		for range crowdSize {
			group.Go(func() { sendHeads(s.FrontAddress(entry), os.Getenv("LINES") == "long", stop) })
		}
	}
	isBroken := watch(s, record, entry)
	close(stop)
	group.Wait()
	if isBroken {
		return stage.Broken
	}
	return stage.Held
}

// watch sends ordinary requests and reports whether the process has ended or held more memory than its machine has.
func watch(s *stage.Stage, record *stage.Record, entry *stage.Process) (isBroken bool) {
	number, answered := 0, 0
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(watchStep) {
		now, peak := entry.MemoryMB()
		number++
		answer := stage.Send(s.FrontAddress(entry), http.MethodGet, "/timi402/x", fmt.Sprintf("q%d", number), nil, requestTime)
		if answer.Status == http.StatusOK {
			answered++
		}
		ended, how := entry.Ended()
		record.Log("memory %.0f MB, peak %.0f MB; ordinary request %d: status %d %v in %v; process ended: %v %s", now, peak, number, answer.Status, answer.Err, answer.Took, ended, how)
		isBroken = isBroken || ended || peak > memoryMB
	}
	_, peak := entry.MemoryMB()
	record.Print("peak of the resident memory %.0f MB, machine %d MB; %d of %d ordinary requests answered 200; rule broken: %v", peak, memoryMB, answered, number, isBroken)
	return isBroken
}

// sendHeads sends one head without end after the other.
func sendHeads(address string, hasLongLines bool, stop chan struct{}) {
	for {
		sendHead(address, hasLongLines, stop)
		select {
		case <-stop:
			return
		case <-time.After(piecePause):
		}
	}
}

func sendHead(address string, hasLongLines bool, stop chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprint(conn, "GET /timi402/x HTTP/1.1\r\nHost: pupu76.example\r\n"); err != nil {
		return
	}
	for line := firstName; ; {
		var piece strings.Builder
		for piece.Len() < pieceBytes {
			line++
			piece.WriteString(strconv.FormatInt(int64(line), 36) + ":")
			if hasLongLines {
				piece.WriteString(strings.Repeat("x", longLineBytes))
			}
			piece.WriteString("\r\n")
		}
		if _, err := conn.Write([]byte(piece.String())); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(piecePause):
		}
	}
}
