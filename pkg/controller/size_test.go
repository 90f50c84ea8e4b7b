package controller

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"lovagedeck/pkg/tabulator"
	"lovagedeck/pkg/timeliner"
)

// streamBytes returns the size of a message on a connection that has carried its type before.
func streamBytes(b *testing.B, message any) int {
	b.Helper()
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	for range 2 {
		buffer.Reset()
		if err := encoder.Encode(message); err != nil {
			b.Fatal(err)
		}
	}
	return buffer.Len()
}

func machineOf(members, rows int) *tabulator.Machine {
	machine := tabulator.NewMachine()
	change := tabulator.ChangeRows{ChangeID: "rows"}
	for i := range rows {
		change.Rows = append(change.Rows, tabulator.RowFields{
			Service: fmt.Sprintf("customs-desk-%04d", i/7), DataCentre: fmt.Sprintf("dc-%d", i%7), Weight: 100, Slots: 2, Connections: 25,
			DeadlineMs: 52, MinCoverage: 0.95, HedgePercent: 4, State: tabulator.StateIn,
		})
	}
	machine.Apply(change)
	for i := range members {
		machine.Apply(tabulator.Join{Member: member(i)})
	}
	return machine
}

func member(i int) tabulator.MemberFields {
	return tabulator.MemberFields{
		Instance: fmt.Sprintf("entry-%04d", i), Incarnation: uint64(time.Hour) + uint64(i), DataCentre: fmt.Sprintf("dc-%d", i%7),
		FellowAddress: "10.100.200.30:8201", OperatorAddress: "10.100.200.30:8301", Via: "control-1",
	}
}

// BenchmarkRenewal reports the bytes of one renewal: without news, after one join and after one changed row.
func BenchmarkRenewal(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			machine := machineOf(members, 1000)
			query := RenewQuery{Member: member(1), Have: machine.Revision(), Stamp: timeliner.Stamp{Micros: 1 << 50}}
			quiet := RenewReply{Granted: true, Delta: machine.Delta(machine.Revision())}
			before := machine.Revision()
			machine.Apply(tabulator.Join{Member: member(members)})
			join := RenewReply{Granted: true, Delta: machine.Delta(before)}
			whole := RenewReply{Granted: true, Delta: machine.Delta(0)}
			for b.Loop() {
				machine.Delta(before)
			}
			b.ReportMetric(float64(streamBytes(b, query)+streamBytes(b, quiet)), "quiet-bytes")
			b.ReportMetric(float64(streamBytes(b, join)-streamBytes(b, quiet)), "join-bytes")
			b.ReportMetric(float64(streamBytes(b, whole)), "whole-bytes")
		})
	}
}

// BenchmarkApply reports the time to apply one join and the size of a snapshot.
func BenchmarkApply(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			machine := machineOf(members, 1000)
			i := uint64(0)
			for b.Loop() {
				i++
				fields := member(1)
				fields.Incarnation += i
				machine.Apply(tabulator.Join{Member: fields})
			}
			data, err := machine.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		})
	}
}

// BenchmarkView reports the time in which an entry instance applies the delta of one join.
func BenchmarkView(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			machine := machineOf(members, 1000)
			view, err := tabulator.NewView().Apply(machine.Delta(0))
			if err != nil {
				b.Fatal(err)
			}
			machine.Apply(tabulator.Join{Member: member(members)})
			delta := machine.Delta(view.Revision())
			for b.Loop() {
				if _, err := view.Apply(delta); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSessions reports the time of one tick of a control instance.
func BenchmarkSessions(b *testing.B) {
	for _, members := range []int{25, 250, 2500} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			server := &Server{machine: machineOf(members, 0), config: ServerConfig{Now: func() time.Duration { return time.Second }}}
			s := newSessions("control-1", time.Second)
			for i := range members {
				fields := member(i)
				s.onGrant(tabulator.MemberID{Instance: fields.Instance, Incarnation: fields.Incarnation}, 1, 0, time.Second)
			}
			for b.Loop() {
				s.tick(server)
			}
		})
	}
}
