package node

import (
	"fmt"
	"strings"
	"testing"
)

// listens has discovery answer, so that its lines are heard.
const listens = `
	wait 30ms
	disc/1 accept
	disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
	disc/1 line
`

// kept leaves a kept connection to w1, which core 0 serves, and to w2, which core 1 does.
const kept = listens + `
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

// What a core or the decider that stands still must not do, and what becomes of the jobs.
func TestCoresThatStandStill(t *testing.T) {
	drains := func(server string) string {
		return `disc/1 line {"seq":44,"whole":false,"hosts":[` + entry(server, "terminating") + `]}`
	}
	for name, script := range map[string]string{
		// Without its permit the core would write the send that it finds first, and the drain is 800 ms old.
		"a send that waits on a stalled core is undone by a drain": kept + `
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
		"so it is while its connection is made": listens + `
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
		"a server that comes back is sent what is decided then": kept + `
			stall 0
			c2 ask a1 read 5000
			` + drains("w1") + `
			disc/1 line {"seq":45,"whole":false,"hosts":[` + entry("w1", "in_service") + `]}
			resume 0
			w1/1 expect nothing
			w2/1 expect POST /api a1 5000 hi
			c1 ask a2 read 5000
			w1/1 expect POST /api a2 5000 hi`,
		"a last byte that was held back when the drain came is written": listens + `
			c1 open on 1
			c1 ask a1 pay 5000
			w1/1 accept
			` + drains("w1") + `
			wait 1ms
			w1/1 expect POST /api a1 5000 hi`,
		"a send older than its lease goes back to the module": kept + `
			stall 0
			c2 ask a1 pay 5000
			wait 251ms
			resume 0
			w1/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a1 4749 hi`,
		"a send within its lease goes out": kept + `
			stall 0
			c2 ask a1 pay 5000
			wait 249ms
			resume 0
			wait 1ms
			w1/1 expect POST /api a1 4751 hi`,
		// The drain has reached the machine, and nobody has read it: cores that go on know nothing of it.
		"a core that has not heard for long sends nothing by itself": kept + `
			deaf on
			wait 240ms
			stall 0
			c2 ask a1 read 5000
			wait 70ms
			resume 0
			w1/1 expect nothing
			w2/1 expect nothing`,
		"what is decided while nothing is heard waits, and costs no attempt": kept + `
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
		"what waits for a pulse ends with its client's time": kept + `
			deaf on
			wait 400ms
			c2 ask a1 read 100
			wait 110ms
			c2 expect 503 retry
			deaf off
			wait 60ms
			w1/1 expect nothing
			w2/1 expect nothing`,
		"a decider that stands still undoes nothing that runs": kept + `
			c2 ask a1 read 5000
			w1/1 expect POST /api a1 5000 hi
			stall decider
			call w1 a1 started
			call w1 a1 done late
			wait 1s
			c2 expect nothing
			resume decider
			c2 expect 200 late`,
		"a client that leaves on one core while its job ends on another has no answer, and no id is free": kept + `
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
		"an answer that crosses the end of its connection touches nothing": kept + `
			c2 ask a1 read 5000
			stall 1
			call w1 a1 done late
			c2 close
			resume 1
			c3 open on 1
			c3 ask a2 read 5000
			w1/1 expect POST /api a1 5000 hi
			w2/1 expect POST /api a2 5000 hi`,
		"one id on two cores at once is taken once": kept + `
			stall decider
			c1 ask a1 read 5000
			c2 ask a1 read 5000
			resume decider
			c1 expect nothing
			c2 expect 409 close; end
			w1/1 expect POST /api a1 5000 hi
			w2/1 expect nothing`,
		"the client's time runs while the decider stands still": kept + `
			stall decider
			c2 ask a1 read 5000
			wait 200ms
			resume decider
			w1/1 expect POST /api a1 4800 hi`,
	} {
		t.Run(name, func(t *testing.T) { playOn(t, []int{2}, two, 1024, script) })
	}
}

// A process on one core that stood still takes what came meanwhile in any order: a client's request, or a connection that is
// made, before the word of a drain that is too old by then.
func TestAProcessThatStoodStillHearsBeforeItSends(t *testing.T) {
	told := `disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w1", "terminating") + `]}`
	for name, script := range map[string]string{
		"a request": kept + `
			stall decider
			c2 ask a1 pay 5000
			` + told + `
			wait 1s
			resume decider
			w1/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a1 5000 hi`,
		"a connection that is made": listens + `
			c1 open
			c1 ask a1 read 5000
			stall decider
			w1/1 accept
			` + told + `
			wait 1s
			resume decider
			w1/1 expect nothing`,
		"a request after a request": kept + `
			stall decider
			c1 send GET /ready HTTP/1.1\n\n
			c2 ask a1 pay 5000
			` + told + `
			wait 1s
			resume decider
			w1/1 expect nothing
			c1 expect 200 ready`,
		// The first echo is lost; a send, had it begun, would be whole after 1 ms.
		"nobody reads for long": kept + `
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

// Sends to a cold server that a stalled core finds late are not written: their budget was counted when they were decided. A
// warm one may be as late.
func TestAStalledCoreDoesNotOverloadAServerInSlowStart(t *testing.T) {
	const script = kept + `
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

// Descriptors are one sum: a core that has none left, and nothing idle, has another close one.
func TestACoreOutOfDescriptorsGetsOneOfAnother(t *testing.T) {
	var servers []string
	for i := range 16 { // with 64 sockets 15 connections may go to servers
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
			t.Fatalf("job %d was sent nowhere, with %d connections open", i+1, p.procs[0].node.many.conns.Open())
		}
	}
	for _, s := range servers {
		if p.dials[s] == 0 {
			t.Errorf("%s was never used, so no descriptor was short", s)
		}
	}
	if open := p.procs[0].node.many.conns.Open(); open > 15 {
		t.Errorf("%d connections are open", open)
	}
}

// Calls for a core that stands still are answered where they come, up to a bound: then servers are to come again.
func TestCallsForAStalledCoreAreBounded(t *testing.T) {
	p := playOn(t, []int{2}, two, 1024, kept+`
		s1 open on 1
		stall 0`)
	const body = `{"id":"a9","from":"w1","state":"lost"}`
	call := fmt.Sprintf(`send POST /callback HTTP/1.1\nContent-Length: %d\n\n%s`, len(body), body)
	s1 := p.peers["s1"]
	for i := 0; !s1.shut; i++ {
		if i > mostQueued+10 {
			t.Fatal("calls are taken without end")
		}
		p.play("s1", call)
		if got := s1.said(); got != "204" && !s1.shut {
			t.Fatalf("call %d: %s", i, got)
		}
	}
	p.run("resume 0\ns2 open on 1\ns2 " + call + "\ns2 expect 204")
	if n := p.procs[0].loops[0].Queued(); n != 0 {
		t.Errorf("%d calls still wait", n)
	}
}

// Limits on clients are sums as well: an idle connection on one core makes room for a newcomer on another.
func TestIdleClientsOfOneCoreAreShedForAnother(t *testing.T) {
	script := ""
	for i := range 22 { // with 64 sockets above so many idle ones close
		script += fmt.Sprintf("i%d open on 1\ni%d send GET /ready HTTP/1.1\\n\\n\n", i, i)
	}
	playOn(t, []int{2}, one, 64, script+`
		c1 open on 0
		i0 expect 200 ready; end
		i1 expect 200 ready`)
}

// Where one core has the busy connections, some of its next answers close theirs: they come anew, to the core that has less
// to do. Idle ones stay where they are.
func TestBusyConnectionsAreDealtAnew(t *testing.T) {
	const ready = `send GET /ready HTTP/1.1\n\n`
	script := listens + `
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
		t.Error("a newcomer was dealt to the busy core")
	}
}
