package node

import (
	"strings"
	"testing"
)

// A job may run for longer than a process may take to stop; its successor must then continue the request. TestInvariantsUnderChanges
// checks that no rule is broken meanwhile.
func TestOpenRequestsTransferredToSuccessor(t *testing.T) {
	const runs = `
		c1 open
		c1 ask a1 read 25000
		w1/1 accept
		w1/1 202
		call w1 a1 started
		`
	for name, script := range map[string]string{
		"transfer at the order to stop and until the old process ends": runs + `
			c2 open
			upgrade
			wait 2s
			old running
			old stop
			call w1 a1 done passed
			c1 expect 200 passed
			wait 100ms
			c2 ask a2 pay 25000
			wait 1ms
			w1/1 expect POST /api a1 25000 hi; POST /api a2 25000 hi
			wait 300ms
			old running
			w1/1 202
			wait 200ms
			old stopped
			wait 20s
			call w1 a2 done late
			c2 expect 200 late
			wait 12s
			c2 ask a2 pay 25000
			c2 expect 409 close; end`,
		"call-back that crosses the transfer is delivered after it": runs + `
			upgrade
			old stall decider
			old stop
			call w1 a1 done crossed
			old resume decider
			c1 expect 200 crossed`,
		"unconfirmed transfer is taken back when the successor ends": runs + `
			upgrade
			stall decider
			old stop
			wait 700ms
			old running
			end
			call w1 a1 done back
			c1 expect 200 back`,
	} {
		t.Run(name, func(t *testing.T) { playAt(t, deployments[longJobs], []int{0}, one, 1024, script) })
	}
	// A request whose client has sent more data, or whose terms differ from the new version's, is not transferred: it must be
	// answered before the process may be killed.
	for _, stays := range []string{"c1 send POST", `retune "attempts-cap":3 => "attempts-cap":2`} {
		playAt(t, deployments[longJobs], []int{0}, one, 1024, runs+stays+"\nupgrade\nold stop\nwait 3450ms\nc1 expect 503 retry close; end")
	}
}

// The two processes of an upgrade share one budget for a server in slow start: each counts the dispatches of the other, until these
// end or the other process is gone.
func TestUpgradeSharesBudget(t *testing.T) {
	cold := strings.Replace(entry("w1", "in_service"), `"born_ms":0`, `"born_ms":1699999999000`, 1)
	p := play(t, two, 1024, `
		wait 30ms
		disc/1 accept
		disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
		disc/1 line {"seq":44,"whole":false,"hosts":[`+cold+`]}
		op1 call POST /_workers/detach/w2
		op2 call POST /_workers/detach/w1
		op3 call POST /_workers/attach/w1
		c1 open
		c2 open
		upgrade`)
	check := func(tokens, slots, slotsOld float64) {
		t.Helper()
		for i, want := range []float64{slots, slotsOld} {
			memory, _ := p.procs[i].node.core.Snapshot()
			if w := memory.Workers["w1"]; w.Tokens != tokens || w.Slots != want {
				t.Fatalf("process %d has %v sends left and %v slots in flight, want %v and %v", i, w.Tokens, w.Slots, tokens, want)
			}
		}
	}
	check(1, 0, 0)
	p.run("c1 ask a1 read 5000\nw1/1 accept\nw1/1 expect POST /api a1 5000 hi\nw1/1 202")
	check(0, 1, 1)
	p.run("call w1 a1 done x")
	check(0, 0, 0)
	slots := func() float64 {
		memory, _ := p.procs[0].node.core.Snapshot()
		return memory.Workers["w2"].Slots
	}
	p.run("op4 call POST /_workers/attach/w2\nc2 ask a3 read 5000\nw2/1 accept\nw2/1 202")
	if slots() != 1 {
		t.Fatalf("%v slots in flight at w2, want 1", slots())
	}
	if p.run("old end"); slots() != 0 {
		t.Fatalf("%v slots are still counted for a process that is gone", slots())
	}
}
