package node

import (
	"fmt"
	"strings"
	"testing"
)

// watchOpen is a script in which discovery answers the watch, so that later lines are read.
const watchOpen = `
	wait 30ms
	disc/1 accept
	disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
	disc/1 line
`

// idleConns is a script that leaves an idle connection to w1, which core 0 serves, and to w2, which core 1 serves.
const idleConns = watchOpen + `
	c1 open on 0
	c2 open on 1
	c1 ask e1 read 5000
	w1/1 accept
	w1/1 202
	call w1 e1 done x
	c1 expect 200 x
	c1 ask e2 read 5000
	w2/1 accept
	w2/1 202
	call w2 e2 done y
	c1 expect 200 y
	w1/1 expect POST /api e1 5000 hi
	w2/1 expect POST /api e2 5000 hi
`

// While a core or the decider is stalled, no send may begin after a drain or after its lease, and the jobs must be sent elsewhere,
// wait or be answered in time.
func TestStalledCores(t *testing.T) {
	drains := func(server string) string {
		return `disc/1 line {"seq":44,"whole":false,"hosts":[` + entry(server, "terminating") + `]}`
	}
	for name, script := range map[string]string{
		// Without permits, the resumed core would write the send first, 800 ms after the drain.
		"drain revokes a send that waits on a stalled core": idleConns + `
			stall 0
			c2 ask a1 pay 5000
			` + drains("w1") + `
			wait 800ms
			resume 0
			w1/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a1 4200 hi
			w2/1 202
			call w2 a1 done ok
			c2 expect 200 ok`,
		"drain revokes a send whose connection is being established": watchOpen + `
			c1 open on 1
			c1 ask a1 pay 5000
			stall 0
			w1/1 accept
			` + drains("w1") + `
			wait 800ms
			resume 0
			w1/1 expect nothing
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4200 hi`,
		"server that returns receives only later decisions": idleConns + `
			stall 0
			c2 ask a1 read 5000
			` + drains("w1") + `
			disc/1 line {"seq":45,"whole":false,"hosts":[` + entry("w1", "in_service") + `]}
			resume 0
			w1/1 expect nothing
			w2/1 expect POST /api a1 5000 hi
			c1 ask a2 read 5000
			w1/1 expect POST /api a2 5000 hi`,
		"last byte held back during a drain is written": watchOpen + `
			c1 open on 1
			c1 ask a1 pay 5000
			w1/1 accept
			` + drains("w1") + `
			wait 1ms
			w1/1 expect POST /api a1 5000 hi`,
		"send older than its lease is decided again": idleConns + `
			stall 0
			c2 ask a1 pay 5000
			wait 251ms
			resume 0
			w1/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a1 4749 hi`,
		"send within its lease is written": idleConns + `
			stall 0
			c2 ask a1 pay 5000
			wait 249ms
			resume 0
			wait 1ms
			w1/1 expect POST /api a1 4751 hi`,
		// The drain may have reached the machine without being read by the decider, so cores that run are unaware of it.
		"core sends nothing without a recent pulse": idleConns + `
			deaf on
			wait 240ms
			stall 0
			c2 ask a1 read 5000
			wait 70ms
			resume 0
			w1/1 expect nothing
			w2/1 expect nothing`,
		"send decided without a recent pulse waits and costs no attempt": idleConns + `
			deaf on
			wait 400ms
			c2 ask a1 read 5000
			w1/1 expect nothing
			wait 300ms
			deaf off
			` + drains("w1") + `
			wait 50ms
			w1/1 expect nothing
			w2/1 expect POST /api a1 4680 hi`,
		"send waiting for a pulse ends at the client's deadline": idleConns + `
			deaf on
			wait 400ms
			c2 ask a1 read 100
			wait 110ms
			c2 expect 503 retry
			deaf off
			wait 60ms
			w1/1 expect nothing
			w2/1 expect nothing`,
		"stalled decider does not affect a running job": idleConns + `
			c2 ask a1 read 5000
			w1/1 expect POST /api a1 5000 hi
			stall decider
			call w1 a1 started
			call w1 a1 done late
			wait 1s
			c2 expect nothing
			resume decider
			c2 expect 200 late`,
		"client leaves on one core while its job ends on another": idleConns + `
			c2 ask a1 read 5000
			w1/1 expect POST /api a1 5000 hi
			w1/1 202
			stall decider
			c2 close
			call w1 a1 done late
			resume decider
			c1 ask a1 read 5000
			c1 expect 409 close; end
			w1/1 expect nothing`,
		"answer that crosses the end of its connection is dropped": idleConns + `
			c2 ask a1 read 5000
			stall 1
			call w1 a1 done late
			c2 close
			resume 1
			c3 open on 1
			c3 ask a2 read 5000
			w1/1 expect POST /api a1 5000 hi
			w2/1 expect POST /api a2 5000 hi`,
		"same ID on two cores is accepted once": idleConns + `
			stall decider
			c1 ask a1 read 5000
			c2 ask a1 read 5000
			resume decider
			c1 expect nothing
			c2 expect 409 close; end
			w1/1 expect POST /api a1 5000 hi
			w2/1 expect nothing`,
		"client's time runs while the decider is stalled": idleConns + `
			stall decider
			c2 ask a1 read 5000
			wait 200ms
			resume decider
			w1/1 expect POST /api a1 4800 hi`,
	} {
		t.Run(name, func(t *testing.T) { playOn(t, []int{2}, two, 1024, script) })
	}
}

// After a pause, a process on one core reads its input in any order: it may read a client's request or an established connection
// before the notification of a drain whose time to take effect has passed by then. It must not send to that server.
func TestPausedProcessReadsInputBeforeSending(t *testing.T) {
	told := `disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w1", "terminating") + `]}`
	for name, script := range map[string]string{
		"request": idleConns + `
			stall decider
			c2 ask a1 pay 5000
			` + told + `
			wait 1s
			resume decider
			w1/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a1 5000 hi`,
		"established connection": watchOpen + `
			c1 open
			c1 ask a1 read 5000
			stall decider
			w1/1 accept
			` + told + `
			wait 1s
			resume decider
			w1/1 expect nothing`,
		"request after another request": idleConns + `
			stall decider
			c1 send GET /ready HTTP/1.1\n\n
			c2 ask a1 pay 5000
			` + told + `
			wait 1s
			resume decider
			w1/1 expect nothing
			c1 expect 200 ready`,
		// The first echo is lost. A send that had begun would be written completely after 1 ms.
		"poller paused for longer": idleConns + `
			deaf on
			stall decider
			wait 400ms
			resume decider
			c2 ask a1 pay 5000
			wait 2ms
			w1/1 expect nothing
			w2/1 expect nothing
			` + told + `
			deaf off
			wait 98ms
			w1/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a1 4900 hi`,
	} {
		t.Run(name, func(t *testing.T) { playOn(t, []int{0}, two, 1024, script) })
	}
}

// A stalled core must not write late sends to a server in slow start, since their budget was charged when they were decided. Sends
// to a warm server may be as late.
func TestStalledCoreKeepsSlowStartBudget(t *testing.T) {
	const script = idleConns + `
		op1 call POST /_workers/detach/w2
		op2 call POST /_workers/detach/w1
		op3 call POST /_workers/attach/w1
		stall 0
		c2 ask a1 pay 5000
		wait %s
		resume 0
		wait 1ms
		w1/1 expect %s`
	playOn(t, []int{2}, two, 1024, fmt.Sprintf(script, "101ms", "nothing"))
	playOn(t, []int{2}, two, 1024, fmt.Sprintf(script, "99ms", "POST /api a1 4901 hi"))
	warm := strings.Replace(strings.Replace(script, "op2 call POST /_workers/detach/w1", "", 1), "op3 call POST /_workers/attach/w1", "", 1)
	playOn(t, []int{2}, two, 1024, fmt.Sprintf(warm, "101ms", "POST /api a1 4899 hi"))
}

// All cores share the limit on connections: a core that reaches it without an idle connection makes another core close one.
func TestConnectionLimitSharedByCores(t *testing.T) {
	var servers []string
	for i := range 16 { // with 64 sockets, 15 connections to servers are allowed
		servers = append(servers, fmt.Sprintf("w%d", i+1))
	}
	p := playOn(t, []int{16}, servers, 64, "c1 open on 0")
	for i := range 200 {
		id := fmt.Sprintf("%02x", i+0x20)
		p.run(fmt.Sprintf("c1 ask %s read 5000", id))
		served := false
		for name, c := range p.peers {
			if !c.dialled || c.shut || !strings.HasPrefix(name, "w") {
				continue
			}
			if !c.up {
				p.run(name + " accept")
			}
			if strings.HasPrefix(c.said(), "POST") {
				server, _, _ := strings.Cut(name, "/")
				p.run(name + " 202\ncall " + server + " " + id + " done x\nc1 expect 200 x")
				served = true
				break
			}
		}
		if !served {
			t.Fatalf("job %d was not sent, with %d connections open", i+1, p.procs[0].node.many.conns.Open())
		}
	}
	for _, s := range servers {
		if p.dials[s] == 0 {
			t.Errorf("%s was never used, so the connection limit was not reached", s)
		}
	}
	if open := p.procs[0].node.many.conns.Open(); open > 15 {
		t.Errorf("%d connections are open, want at most 15", open)
	}
}

// Call-backs for a stalled core are answered on the core where they arrive, up to a bound; beyond it servers must retry.
func TestCallbackQueueOfStalledCoreBounded(t *testing.T) {
	p := playOn(t, []int{2}, two, 1024, idleConns+`
		s1 open on 1
		stall 0`)
	const body = `{"id":"a9","from":"w1","state":"lost"}`
	call := fmt.Sprintf(`send POST /callback HTTP/1.1\nContent-Length: %d\n\n%s`, len(body), body)
	s1 := p.peers["s1"]
	for i := 0; !s1.shut; i++ {
		if i > maxQueued+10 {
			t.Fatal("the number of accepted call-backs is not bounded")
		}
		p.play("s1", call)
		if got := s1.said(); got != "204" && !s1.shut {
			t.Fatalf("call %d: %s", i, got)
		}
	}
	p.run("resume 0\ns2 open on 1\ns2 " + call + "\ns2 expect 204")
	if n := p.procs[0].loops[0].Queued(); n != 0 {
		t.Errorf("%d call-backs are still queued", n)
	}
}

// All cores share the limits on clients: an idle connection on one core is closed for a new one on another.
func TestIdleClientsShedAcrossCores(t *testing.T) {
	script := ""
	for i := range 22 { // with 64 sockets, idle connections above this number are closed
		script += fmt.Sprintf("i%d open on 1\ni%d send GET /ready HTTP/1.1\\n\\n\n", i, i)
	}
	playOn(t, []int{2}, one, 64, script+`
		c1 open on 0
		i0 expect 200 ready; end
		i1 expect 200 ready`)
}

// If one core has the busy connections, some of its next responses close theirs; their clients reconnect to the core with less load.
// Idle connections stay where they are.
func TestBusyConnectionsRebalanced(t *testing.T) {
	const ready = `send GET /ready HTTP/1.1\n\n`
	script := watchOpen + `
		i1 open on 1
		i2 open on 1
		i3 open on 1
		i4 open on 1
		idle open on 1
		idle ` + ready + `
		b1 open on 0
		b2 open on 0
		b3 open on 0
`
	for range 60 {
		script += "b1 " + ready + "\nb2 " + ready + "\n"
	}
	p := playOn(t, []int{2}, one, 1024, script+`
		wait 250ms
		idle expect 200 ready
		idle `+ready+`
		idle expect 200 ready`)
	p.peers["b1"].said()
	p.peers["b2"].said()
	p.run(`
		b1 ` + ready + `
		b1 expect 200 ready close; end
		b2 ` + ready + `
		b2 expect 200 ready
		b4 open`)
	if p.peers["b4"].loop != p.procs[0].loops[1] {
		t.Error("a new connection was assigned to the busy core")
	}
}
