package node

import (
	"fmt"
	"strings"
	"testing"
)

var one, two = []string{"w1"}, []string{"w1", "w2"}

// What no usual client sends is told so, passed on to nobody and not read on.
func TestWhatCannotBeReadIsRejected(t *testing.T) {
	const proper = `POST /api?user=7f HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 50\nX-Labels: slots=1,x=y\n\n`
	for name, tc := range map[string]struct{ from, to, want string }{
		"proper":             {"", "", "nothing"},
		"no key, no labels":  {`?user=7f HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 50\nX-Labels: slots=1,x=y`, ` HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 50`, "nothing"},
		"no id":              {`X-Txn: 00000000000000a1\n`, "", ""},
		"short id":           {"00000000000000a1", "a1", ""},
		"id in capitals":     {"00000000000000a1", "00000000000000A1", ""},
		"two ids":            {`X-Lane`, `X-Txn: 00000000000000a1\nX-Lane`, ""},
		"no class":           {`X-Lane: read\n`, "", ""},
		"unknown class":      {"read", "reads", ""},
		"two classes":        {`X-Labels`, `x-lane: read\nX-Labels`, ""},
		"no key":             {"read", "keyed", ""},
		"no time":            {`X-Remaining-Ms: 50\n`, "", ""},
		"empty time":         {"Ms: 50", "Ms:", ""},
		"negative time":      {"Ms: 50", "Ms: -50", ""},
		"time beyond bounds": {"Ms: 50", "Ms: 99999999999999999999", ""},
		"two times":          {`X-Labels`, `X-Remaining-Ms: 50\nX-Labels`, ""},
		"slots":              {"slots=1", "slots=many", ""},
		"control byte":       {"user=7f", "user=7\x01f", ""},
		"other bytes":        {"user=7f", "user=\xe9", ""},
		"tunnelled":          {`X-Labels`, `Content-Length: 4\nTransfer-Encoding:\nTransfer-Encoding: chunked\nX-Labels`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.want == "" {
				tc.want = "400 close; end"
			}
			play(t, one, 1024, "c1 open\nc1 send "+strings.Replace(proper, tc.from, tc.to, 1)+proper+"\nc1 expect "+tc.want)
		})
	}
}

func TestScenarios(t *testing.T) {
	for name, tc := range map[string]struct {
		servers []string
		sockets int
		script  string
	}{
		"a job is served by a call-back": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			w1/1 202
			call w1 a1 started
			c1 expect nothing
			call w1 a1 done fine
			c1 expect 200 fine`},
		"a call-back may come before the 202, repeat and come late": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			call w1 a1 started
			call w1 a1 done early
			c1 expect 200 early
			call w1 a1 done again
			call w1 a1 lost
			w1/1 202
			c1 expect nothing
			c1 ask a2 read 5000
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi`},
		"call-backs of unknown jobs and of other servers change nothing": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 202
			call w2 a1 done wrong
			call w1 zz lost
			c1 expect nothing
			call w1 a1 done right
			c1 expect 200 right`},
		"a refused connection proves that nothing ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 refuse
			w2/1 accept
			wait 1ms
			w2/1 202
			call w2 a1 done ok
			c1 expect 200 ok`},
		"connections that never came up are no attempts: a fourth of a cap of three goes out": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 refuse
			wait 10ms
			w1/2 refuse
			wait 10ms
			w1/3 refuse
			wait 10ms
			w1/4 accept
			wait 1ms
			w1/4 202
			call w1 a1 done ok
			c1 expect 200 ok`},
		"a connection that never comes up is given up by the setting": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			wait 249ms
			w1/1 expect nothing
			wait 2ms
			w1/1 expect closed`},
		"a break before the last byte proves that nothing ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 stuck
			w1/1 accept
			wait 1ms
			w1/1 close
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi`},
		"the last byte waits until a break would have shown": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 900us
			w1/1 expect nothing
			w1/1 close
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi
			w2/1 202
			call w2 a1 done x
			c1 expect 200 x`},
		"a client that leaves before the last byte ends the connection": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			c1 close
			wait 10ms
			w1/1 expect closed`},
		"what may be repeated does not wait": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi`},
		"an answer before the last byte proves that nothing ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			w1/1 503
			w1/1 expect closed
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 5000 hi`},
		"where kept connections break, what may not be repeated takes a new one": {two, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			c1 ask a2 read 5000
			w2/1 accept
			w2/1 202
			call w2 a2 done x
			c1 ask a3 read 5000
			w1/1 close
			w2/1 expect POST /api a2 5000 hi; POST /api a3 5000 hi
			w2/1 202
			c2 open
			c2 ask a4 read 5000
			w1/2 accept
			w1/2 202
			call w1 a4 done x
			call w2 a3 done x
			c1 expect 200 x; 200 x; 200 x
			wait 20ms
			c1 ask a5 pay 5000
			w2/1 expect nothing
			wait 1ms
			w2/1 expect POST /api a5 5000 hi
			w2/1 202
			c2 ask a6 pay 5000
			w1/3 accept
			wait 1ms
			w1/3 expect POST /api a6 5000 hi`},
		"the wait follows the server's fastest answer on a kept connection": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			c1 ask a2 read 5000
			wait 4ms
			w1/1 202
			call w1 a2 done y
			wait 20ms
			c1 ask a3 pay 5000
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi
			wait 3900us
			w1/1 expect nothing
			wait 200us
			w1/1 expect POST /api a3 5000 hi`},
		"a job that nobody takes moves, unless it must never run twice": {two, 1024, `
			c1 open
			c1 ask a1 keyed 5000 Idempotency-Key: k9
			w1/1 accept
			wait 2ms
			w1/1 expect POST /api a1 5000 k9 hi
			wait 247ms
			w1/1 expect nothing
			wait 4ms
			w1/1 expect closed
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4747 k9 hi
			call w2 a1 started
			wait 300ms
			w2/1 expect nothing
			call w2 a1 done x
			c1 expect 200 x
			c1 ask a2 pay 5000
			w2/2 accept
			wait 300ms
			w2/2 expect POST /api a2 5000 hi
			call w2 a2 done y
			c1 expect 200 y`},
		"a second answer to the request before is not taken for this one's": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 5ms
			c1 ask a2 pay 5000
			wait 14ms
			w1/1 expect POST /api a1 5000 hi
			w1/1 503 X-Turned-Away: 1
			w1/1 expect closed
			wait 50ms
			w1/2 accept
			wait 1ms
			w1/2 expect POST /api a2 4936 hi
			w1/2 202
			call w1 a2 done y
			c1 expect 200 x; 200 y`},
		"nor is a second answer to a DELETE": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			w1/1 close
			c1 close
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 200
			c2 open
			c2 ask a2 pay 5000
			wait 14ms
			w1/2 expect nothing
			w1/2 200
			w1/2 expect closed`},
		"a connection that has rested carries at once what may not be repeated": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 20ms
			c1 ask a2 pay 5000
			wait 1ms
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi`},
		"a break after the last byte may have run: no second send": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 close
			c1 expect 504`},
		"turned away and handed back never ran": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 503 X-Turned-Away: 1
			w2/1 accept
			wait 1ms
			w2/1 202
			call w2 a1 returned
			c1 expect nothing
			wait 300ms
			w1/1 expect POST /api a1 5000 hi; POST /api a1 4848 hi`},
		"a plain 503 may have run": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 503
			c1 expect 504`},
		"what a server can't use is not its fault": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 400
			wait 20ms
			c1 ask a2 pay 5000
			wait 1ms
			w1/1 404
			c1 expect 504; 504
			c1 ask a3 pay 5000
			c2 open
			c2 ask a4 pay 5000
			wait 1ms
			w1/2 accept
			wait 1ms
			w1/2 expect POST /api a4 4999 hi`},
		"lost may have run": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 202
			call w1 a1 lost
			c1 expect 504`},
		"a client that leaves before the 202 ends the connection": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 close
			w1/1 expect closed
			call w1 a1 done late`},
		"a cancel that crosses the 202 has the job deleted": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 close
			w1/1 202
			w1/1 expect closed
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 200
			c2 open
			c2 ask a2 read 5000
			w1/2 expect POST /api a2 5000 hi`},
		"a time-out that crosses the 202 has the job deleted, on a connection that rests": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			c2 open
			c2 ask a2 pay 230
			w1/1 accept
			w1/2 accept
			w1/1 202
			call w1 a1 done x
			wait 229ms
			c2 expect 504
			w1/2 202
			w1/2 expect POST /api a2 230 hi; closed
			w1/1 expect POST /api a1 5000 hi; DELETE /jobs/a2`},
		"a keyed job that nobody takes is deleted where it was before it goes there again": {one, 1024, `
			c1 open
			c1 ask a1 keyed 5000 Idempotency-Key: k9
			w1/1 accept
			wait 251ms
			w1/1 expect POST /api a1 5000 k9 hi; closed
			w1/2 accept
			wait 300ms
			w1/2 expect DELETE /jobs/a1
			w1/2 200
			wait 30ms
			w1/2 expect POST /api a1 4449 k9 hi`},
		"what has not begun needs no DELETE": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			c1 close
			w1/1 expect closed
			c2 open
			c2 ask a2 read 5000
			w1/2 stuck
			w1/2 accept
			c2 close
			w1/2 expect closed
			c3 open
			c3 ask a3 read 5000
			w1/3 accept
			w1/3 expect POST /api a3 5000 hi`},
		"a client that leaves after the 202 has the job deleted": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c1 close
			w1/1 expect POST /api a1 5000 hi; DELETE /jobs/a1
			w1/1 200`},
		"a DELETE on a connection that was closed goes once more": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c1 close
			w1/1 close
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 close`},
		"the answer comes before the client's time is over": {one, 1024, `
			c1 open
			c1 ask a1 pay 300
			w1/1 accept
			wait 1ms
			w1/1 202
			wait 294ms
			c1 expect nothing
			wait 4ms
			c1 expect 504
			w1/1 expect POST /api a1 300 hi; DELETE /jobs/a1`},
		"a job whose only connect never came up was sent nowhere": {one, 1024, `
			c1 open
			c1 ask a1 pay 300
			w1/1 refuse
			wait 10ms
			w1/2 refuse
			wait 10ms
			w1/3 refuse
			wait 10ms
			w1/4 refuse
			wait 10ms
			w1/5 refuse
			wait 10ms
			w1/6 refuse
			wait 247ms
			c1 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.pay:1 unsent.no_start:1", "cluster_size:1 cluster_unhealthy:1") + ` close; end`},
		"a job given up unsent is refused with a time to come back, and counted by why": {nil, 1024, `
			c1 open
			c1 ask a1 pay 300
			wait 297ms
			c1 expect 503 retry
			c2 open
			c2 ask a2 pay 0
			c2 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.pay:2 unsent.no_start:1 unsent.no_time:1", "cluster_size:0") + ` close; end`},
		"idle connections are used again, and closed before the server does": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 3990ms
			w1/1 expect POST /api a1 5000 hi
			wait 20ms
			w1/1 expect closed
			c1 ask a2 read 5000
			w1/2 accept
			w1/2 expect POST /api a2 5000 hi`},
		"what is left is what the server is told": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			wait 100ms
			w1/1 accept
			w1/1 expect POST /api a1 4900 hi`},
		"the key passes on": {one, 1024, `
			c1 open
			c1 ask a1 read 5000 Idempotency-Key: k9
			w1/1 accept
			w1/1 expect POST /api a1 5000 k9 hi`},
		"split and pipelined requests": {one, 1024, `
			c1 open
			c1 send POST /api HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: re
			c1 send ad\nX-Remaining-Ms: 5000\nContent-Length: 2\n\nh
			c1 send iGET /ready HTTP/1.1\n\n
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 expect nothing
			w1/1 202
			call w1 a1 done x
			c1 expect 200 x; 200 ready`},
		"chunked bodies pass on whole": {one, 1024, `
			c1 open
			c1 send POST /api HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 5000\nTransfer-Encoding: chunked\n\n3\nabc\n2
			c1 send \nde\n0\n\n
			w1/1 accept
			w1/1 expect POST /api a1 5000 abcde`},
		"bad input is answered and closed": {one, 1024, `
			c1 open
			c1 send nonsense\n\n
			c1 expect 400 close; end
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect nothing
			wait 500ms
			c1 expect closed
			c2 open
			c2 send POST /api HTTP/1.1\nContent-Length: 65537\n\n
			c2 expect 413 close; end
			c3 open
			c3 send GET /nowhere HTTP/1.1\n\n
			c3 expect 404 close; end
			c4 open
			c4 send PUT /api HTTP/1.1\nX-Txn: 00000000000000a1\n\n
			c4 expect 405 close; end
			c5 open
			c5 send POST /callback HTTP/1.1\nContent-Length: 2\n\n{}
			c5 expect 400 close; end`},
		"who sends no whole request hears of it within 3 s of connecting": {one, 1024, `
			c1 open
			c2 open
			c2 send POST /api HTTP/1.1\nX-Txn: 
			c3 open
			c3 send POST /api HTTP/1.1\nContent-Length: 5\n\nab
			wait 2s
			c2 send 1
			c3 send c
			c1 expect nothing
			wait 600ms
			c1 expect end
			c2 expect 408 close; end
			c3 expect 408 close; end
			wait 500ms
			c1 expect closed`},
		"who has sent one may keep the connection": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			b1 open
			b1 send POST /callback HTTP/1.1\nContent-Length: 46\n\n{"id":"00000000000000a1","from":"w1","state":1}
			b1 expect 400 close; end
			b2 open
			b2 send POST /callback HTTP/1.1\nContent-Length: 63\n\n{"id":"00000000000000a1","from":"w1","state":"done","result":1}
			c1 expect 200 1
			wait 10s
			b2 expect 204
			c1 send POST /api HT
			wait 2400ms
			c1 expect nothing
			wait 200ms
			c1 expect 408 close; end`},
		"one id is in hand once, and not again soon": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			c2 open
			c2 ask a1 read 5000
			c2 expect 409 close; end
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			w1/1 202
			call w1 a1 done first
			c1 expect 200 first
			c3 open
			c3 ask a1 read 5000
			c3 expect 409 close; end
			w1/1 expect nothing
			wait 10s
			c1 ask a1 read 5000
			w1/2 accept
			w1/2 expect POST /api a1 5000 hi`},
		"a drain at once keeps back what is not yet written": {two, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			c1 open
			c1 ask a1 pay 5000
			w1/1 expect nothing
			disc/1 line {"seq":42,"whole":false,"hosts":[` + entry("w1", "terminating") + `]}
			w1/1 accept
			wait 1ms
			w1/1 expect nothing
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi`},
		"a silent watch is asked again, from the last version": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[]}
			wait 2.9s
			disc/1 expect nothing
			disc/1 line
			wait 2.9s
			disc/1 expect nothing
			wait 200ms
			disc/1 expect closed
			wait 1.4s
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44`},
		"an object that never ends keeps no watch, and one written over several lines is a list": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 send 2\n{ \n1b\n"seq":44,"whole":false,    \n
			disc/1 send 6\n\n \n \n
			disc/1 send a\n"hosts":[]\n1\n}\n
			wait 2s
			disc/1 send 2\n{ \n
			wait 900ms
			disc/1 send 8\n        \n
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			wait 100ms
			disc/1 expect closed
			wait 1.5s
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44`},
		"a new discovery is asked at once for the whole list, whatever became of the old one": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w2", "in_service") + `]}
			reload new:1
			disc/1 expect GET /v1/endpoints?stream=1&index=41; closed
			new/1 accept
			new/1 expect GET /v1/endpoints?stream=1&index=0
			new/1 refuse
			wait 1600ms
			new/2 accept
			c1 open
			c1 ask a1 read 5000
			w2/1 expect nothing
			new/2 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			new/2 line {"seq":3,"whole":true,"hosts":[` + entry("w3", "in_service") + `]}
			w3/1 accept
			w3/1 expect POST /api a1 5000 hi
			reload new:1
			new/2 expect GET /v1/endpoints?stream=1&index=0`},
		"earlier failures of the old discovery do not delay the new one": {one, 1024, `
			wait 30ms
			disc/1 refuse
			wait 1600ms
			disc/2 refuse
			wait 3100ms
			disc/3 refuse
			reload new:1
			new/1 refuse
			wait 1600ms
			new/2 accept`},
		"a broken configuration changes nothing": {one, 1024, `
			wait 30ms
			disc/1 accept
			reload
			reload nonsense
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			c1 open
			c1 ask a1 read 5000
			w1/1 accept`},
		"discovery that is down leaves the scheduler ready": {one, 1024, `
			wait 30ms
			disc/1 refuse
			wait 2s
			disc/2 accept
			disc/2 503
			disc/2 expect GET /v1/endpoints?stream=1&index=41; closed
			c1 open
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready`},
		"a planned stop serves while it can, then refuses, and leaves nothing unanswered": {one, 1024, `
			c1 open
			c2 open
			c1 ask a1 read 9000
			w1/1 accept
			w1/1 202
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready
			stop
			wait 2400ms
			c2 ask a2 read 5000
			w1/1 202
			call w1 a2 done new
			c2 expect 200 new
			c3 open
			c3 ask a3 read 5000
			w1/1 202
			wait 200ms
			c2 expect end
			c2 ask a5 read 5000
			c4 open
			c4 ask a4 read 5000
			c4 expect 503 close; end
			running
			wait 700ms
			c2 expect closed
			c1 expect nothing
			c3 expect nothing
			running
			wait 200ms
			c1 expect 503 retry close; end
			c3 expect 503 retry close; end
			c1 close
			running
			c3 close
			wait 100ms
			stopped`},
		"a new configuration while it stops holds up nothing, and neither does a watch that gets no answer": {one, 1024, `
			c1 open
			c1 ask a1 read 9000
			w1/1 accept
			w1/1 202
			stop
			wait 100ms
			reload disc2:1
			wait 2500ms
			c2 open
			c2 ask a2 read 5000
			c2 expect 503 close; end
			c2 close
			call w1 a1 done x
			c1 expect 200 x close; end
			c1 close
			running
			wait 100ms
			stopped`},
		"a stop before there is any list answers who waits for one": {nil, 1024, `
			c1 open
			c1 ask a1 pay 9000
			stop
			wait 3300ms
			c1 expect nothing
			running
			wait 150ms
			c1 expect 503 retry close; end
			c1 close
			wait 100ms
			stopped`},
		"a stop waits for those who don't close no longer than they may linger": {one, 1024, `
			c1 open
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready
			stop
			wait 2500ms
			c1 expect end
			wait 400ms
			c2 open
			c2 ask a1 read 5000
			c2 expect 503 close; end
			running
			wait 200ms
			stopped`},
		"the door answers each caller once, and tells apart what it can't do": {one, 1024, `
			op1 call GET /_ready
			op1 expect 200 ok close; end
			op1 send GET /_ready HTTP/1.1\n\n
			op1 expect nothing
			wait 500ms
			op1 expect closed
			op2 call GET /_nothing
			op2 expect 404 close; end
			op3 call GET /_lameduck/on
			op3 expect 405 close; end
			op4 call POST /_workers/detach/w9
			op4 expect 404 close; end
			op5 call POST /_workers/forget/w1
			op5 expect 404 close; end
			op6 call nonsense
			op6 expect 400 close; end
			op7 open
			wait 4900ms
			op7 expect nothing
			wait 200ms
			op7 expect closed`},
		"callers that say nothing make room, and keep none of the clients' descriptors": {one, 64, `
			op1 call GET /_ready
			op2 open
			op3 open
			op4 open
			op5 open
			op6 open
			op7 open
			op8 open
			op2 expect nothing
			op9 open
			op1 expect 200 ok close; closed
			op10 open
			op2 expect closed
			op3 expect nothing
			op11 call GET /_ready
			op11 expect 200 ok close; end`},
		"figures have all lines from the start, and count each answer and each whole attempt": {two, 1024, `
			op1 call GET /_vars
			op1 expect 200 ` + figures("", "") + ` close; end
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			op2 call GET /_vars
			op2 expect 200 ` + figures("", "sends:0 current:1") + ` close; end
			wait 1ms
			w1/1 202
			call w1 a1 done x
			c1 ask a2 pay 5000
			wait 1ms
			w2/1 accept
			wait 1ms
			w2/1 close
			c1 expect 200 x; 504
			w1/1 close
			c2 open
			c2 ask a3 read 5000
			c2 close
			reload
			op3 call POST /_workers/detach/w2
			op4 call POST /_lameduck/on
			wait 1600ms
			c3 open
			c3 ask a4 keyed 5000 Idempotency-Key: k9
			c3 expect 503 close; end
			op5 call GET /_vars
			op5 expect 200 ` + figures("answered.pay:1 errored.pay:1 deferred.keyed:1 unsent.leaving:1", "sends:2 current:0 cluster_unhealthy:1 conf_invalid:1") + ` close; end`},
		"a detached server gets nothing, whatever is listed, until it is attached": {two, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			c1 open
			c1 ask a1 pay 5000
			w1/1 expect nothing
			op1 call POST /_workers/detach/w1
			op1 expect 200 ok close; end
			op2 call POST /_workers/detach/w1
			op2 expect 200 ok close; end
			w1/1 accept
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 5000 hi
			disc/1 line {"seq":42,"whole":true,"hosts":[` + entry("w1", "in_service") + "," + entry("w2", "in_service") + `]}
			disc/1 line {"seq":43,"whole":true,"hosts":[` + entry("w2", "in_service") + `]}
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w1", "in_service") + `]}
			c2 open
			c2 ask a2 pay 5000
			w2/2 accept
			wait 1ms
			w2/2 expect POST /api a2 5000 hi
			w1/1 expect nothing
			op3 call POST /_workers/attach/w1
			op3 expect 200 ok close; end
			c3 open
			c3 ask a3 read 5000
			w1/1 expect POST /api a3 5000 hi`},
		"a drain sends clients away, serves those that stay a while, and can be undone": {one, 1024, `
			c1 open
			c2 open
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready
			c3 open
			c3 send GET /ready HTTP/1.1\n\n
			c3 expect 200 ready
			b1 open
			b1 send POST /callback HTTP/1.1\nContent-Length: 48\n\n{"id":"00000000000000zz","from":"w1","state":""}
			op1 call POST /_lameduck/on
			op2 call POST /_lameduck/on
			op2 expect 200 ok close; end
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 503 close; end
			c2 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			c2 expect 200 x close; end
			wait 1400ms
			c3 expect nothing
			wait 200ms
			c3 expect end
			c4 open
			c4 ask a2 read 5000
			c4 expect 503 close; end
			op3 call GET /_ready
			op3 expect 200 ok close; end
			op4 call POST /_lameduck/off
			c5 open
			c5 send GET /ready HTTP/1.1\n\n
			c5 ask a3 read 5000
			w1/1 202
			call w1 a3 done y
			c5 expect 200 ready; 200 y
			wait 1600ms
			c5 expect nothing
			b1 expect 204`},
		"a new version takes over while the old one serves what it has": {one, 1024, `
			wait 30ms
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w2", "in_service") + `]}
			op1 call POST /_workers/detach/w2
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			b1 open
			c2 open
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready
			c5 open
			upgrade
			op2 call GET /_ready
			op2 expect 200 ok close; end
			wait 30ms
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44
			c3 open
			c3 ask a1 read 5000
			c3 expect 409 close; end
			c5 ask a5 read 5000
			w1/1 expect POST /api a1 5000 hi; POST /api a5 5000 hi
			w1/1 202
			c3 open
			c3 ask a5 read 5000
			c3 expect 409 close; end
			c4 open
			c4 ask a2 pay 5000
			w1/2 accept
			wait 1ms
			w1/2 expect POST /api a2 5000 hi
			w1/2 202
			call w1 a1 done x
			c1 expect 200 x close; end
			b1 send POST /callback HTTP/1.1\nContent-Length: 63\n\n{"id":"00000000000000a2","from":"w1","state":"done","result":2}
			b1 expect 204
			c4 expect 200 2
			c2 send GET /ready HTTP/1.1\n\n
			c2 expect 200 ready close; end
			c1 close
			c2 close
			old running
			call w1 a5 done z
			c5 expect 200 z close; end
			c5 close
			wait 100ms
			old stopped
			old end
			wait 10s
			c6 open
			c6 ask a6 read 5000
			w1/3 accept
			running`},
		"what a new version is handed stays in force, and operators reach both": {two, 1024, `
			reload new:1
			op1 call POST /_lameduck/on
			c1 open
			c2 open
			upgrade
			wait 30ms
			new/2 expect nothing
			c3 open
			c3 send GET /ready HTTP/1.1\n\n
			c3 expect 503 close; end
			op2 call POST /_lameduck/off
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready close; end
			op3 call POST /_workers/detach/w1
			c2 ask a1 read 5000
			w2/1 accept
			w2/1 expect POST /api a1 5000 hi
			old op4 call POST /_workers/attach/w1
			old op4 expect 200 ok close; end
			old op5 call POST /_workers/detach/w2
			c4 open
			c4 ask a2 read 5000
			w1/1 accept
			w1/1 expect POST /api a2 5000 hi
			reload other:1
			other/1 accept
			other/2 accept`},
		"a third version may come before the first has ended": {one, 1024, `
			c1 open
			c2 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			upgrade
			upgrade
			call w1 a1 done x
			c1 expect 200 x close; end
			c2 ask a2 read 5000
			c3 open
			c3 ask a2 read 5000
			c3 expect 409 close; end
			c4 open
			c4 send GET /ready HTTP/1.1\n\n
			c4 expect 200 ready
			old running
			old old end
			wait 200ms
			old stopped
			running`},
		"two processes keep to half of the limits each": {nil, 64, `
			upgrade
			crowd 17 ask # read 5000
			crowd16 expect nothing
			crowd17 expect 503 retry close; end
			old end
			c1 open
			c1 ask a1 read 5000
			c1 expect nothing`},
		"an old version that is told to stop leaves once nothing is owed": {one, 1024, `
			c1 open
			c2 open
			c2 send GET /ready HTTP/1.1\n\n
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			upgrade
			old stop
			wait 2s
			c2 expect 200 ready
			call w1 a1 done x
			c1 expect 200 x close; end
			c1 close
			old running
			wait 600ms
			c2 expect end
			old running
			c2 close
			wait 100ms
			old stopped
			running`},
		"a new version that does not live leaves the old one at work": {one, 64, `
			c1 open
			upgrade
			c2 open
			c2 ask a1 read 5000
			end
			c1 ask a2 read 5000
			w1/2 accept
			w1/2 202
			c3 open
			c3 send GET /ready HTTP/1.1\n\n
			c3 expect 200 ready
			call w1 a2 done x
			c1 expect 200 x
			wait 1s
			old running`},
		"new settings are for new jobs, and nothing of a broken file is taken": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c2 open
			wait 20ms
			c2 ask a2 pay 5000
			wait 1ms
			retune "deduplicated" => "sometimes"
			retune "sometimes" => "deduplicated"
			retune "attempts-cap":3 => "attempts-cap":1
			retune "name":"read" => "name":"fresh"
			retune "effect":"at_most_once" => "effect":"idempotent"
			retune "effect":"idempotent" => "effect":"at_most_once"
			w1/1 202
			call w1 a1 failed
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi; POST /api a1 4979 hi
			w1/1 202
			call w1 a1 done x
			c1 expect 200 x
			call w1 a2 failed
			c2 expect 504
			c3 open
			c3 ask a3 read 5000
			c3 expect 400 close; end
			wait 20ms
			c1 ask a4 fresh 5000
			w1/1 expect nothing
			wait 1ms
			w1/1 expect POST /api a4 5000 hi
			w1/1 202
			call w1 a4 failed
			c1 expect 504
			c2 ask a5 pay 5000
			w1/1 expect POST /api a5 5000 hi
			w1/1 202
			call w1 a5 failed
			c2 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 proxy.answered.fresh:0|c proxy.deferred.fresh:0|c proxy.errored.fresh:1|c proxy.answered.keyed:0|c ` +
			`proxy.deferred.keyed:0|c proxy.errored.keyed:0|c proxy.answered.pay:0|c proxy.deferred.pay:1|c proxy.errored.pay:1|c ` +
			`proxy.answered.read:1|c proxy.deferred.read:0|c proxy.errored.read:0|c proxy.sends:5|c proxy.current:0|g ` +
			`proxy.cluster_size:1|g proxy.cluster_unhealthy:1|g proxy.conf_loaded:5|c proxy.conf_invalid:1|c ` +
			`proxy.unsent.no_time:0|c proxy.unsent.no_start:0|c proxy.unsent.leaving:0|c proxy.unsent.no_room:0|c close; end`},
		"silent connections make room for those that speak": {one, 64, `
			b1 open
			call w1 zz started
			crowd 33
			crowd33 ask a1 read 5000
			crowd1 expect nothing
			wait 140ms
			crowd1 expect nothing
			wait 20ms
			crowd1 expect closed
			crowd32 expect closed
			w1/1 accept
			w1/1 expect POST /api a1 4840 hi
			crowd33 expect nothing`},
		"idle clients make room, longest idle first": {one, 64, `
			crowd 23
			crowd2 send GET /ready HTTP/1.1\n\n
			crowd1 send GET /ready HTTP/1.1\n\n
			c1 open
			crowd2 expect 200 ready; end
			c2 open
			crowd1 expect 200 ready; end
			wait 490ms
			crowd2 expect nothing
			wait 20ms
			crowd2 expect closed`},
		"requests in hand leave room for call-backs": {nil, 64, `
			crowd 34 ask # read 5000
			crowd33 expect nothing
			crowd34 expect 503 retry close; end
			crowd1 close
			crowd35 open
			crowd35 ask 35 read 5000
			crowd35 expect nothing
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.read:1 unsent.no_room:1", "current:33 cluster_size:0") + ` close; end`},
	} {
		for _, cores := range [][]int{{0}, {3, 2}, {2, 0}, {0, 2}} {
			if name == "silent connections make room for those that speak" && cores[0] > 0 {
				continue // which of them do depends on their cores
			}
			for at, settings := range deployments {
				if at != shortJobs && onlyShort[name] {
					continue
				}
				t.Run(fmt.Sprint(name, " at ", at, " on cores ", cores), func(t *testing.T) {
					playAt(t, settings, cores, tc.servers, tc.sockets, tc.script)
				})
			}
		}
	}
}

// Where lists are pushed the module never asks for one: the table itself holds the watch on the agent. Without it nothing
// is heard after a start, and jobs go to servers that drain (seen 1.7 s after the agent was told).
func TestPushedLists(t *testing.T) {
	for name, script := range map[string]string{
		"the watch opens with the start, and a drain that it tells is kept": `
			disc/1 accept
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[` + entry("w1", "terminating") + `]}
			c1 open
			c1 ask a1 read 5000
			w2/1 accept
			w2/1 expect POST /api a1 5000 hi
			c2 open
			c2 ask a2 read 5000
			w2/2 accept`,
		"a watch that ends is renewed at once, from the last version, for good": `
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line {"seq":44,"whole":false,"hosts":[]}
			disc/1 close
			wait 50ms
			disc/2 accept
			disc/2 expect GET /v1/endpoints?stream=1&index=44
			disc/2 refuse
			wait 100ms
			disc/3 refuse
			wait 200ms
			disc/4 refuse
			wait 400ms
			disc/5 refuse
			wait 400ms
			disc/6 accept
			disc/6 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/6 line
			disc/6 close
			wait 50ms
			disc/7 accept`,
		"an agent that says nothing is called again, and no sooner than a line is missed": `
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line
			wait 2400ms
			disc/1 line
			wait 2400ms
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			wait 100ms
			disc/1 expect closed
			wait 50ms
			disc/2 accept
			wait 950ms
			disc/2 expect GET /v1/endpoints?stream=1&index=41
			wait 50ms
			disc/2 expect closed
			wait 100ms
			disc/3 accept`,
		"an object that never ends keeps no watch of an agent either": `
			disc/1 accept
			disc/1 send HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n
			disc/1 line
			wait 2s
			disc/1 send 2\n{ \n
			wait 400ms
			disc/1 send 8\n        \n
			wait 100ms
			disc/1 expect GET /v1/endpoints?stream=1&index=41; closed
			wait 50ms
			disc/2 accept`,
		"a moved agent is watched at once, one that ends late is not, and what is listed stands": `
			disc/1 refuse
			reload new:1
			new/1 accept
			new/1 expect GET /v1/endpoints?stream=1&index=0
			wait 300ms
			new/1 close
			wait 50ms
			new/2 accept
			new/2 expect GET /v1/endpoints?stream=1&index=0
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi`,
	} {
		for _, cores := range [][]int{{0}, {2}} {
			t.Run(fmt.Sprint(name, " on cores ", cores), func(t *testing.T) {
				playAt(t, deployments[longJobs], cores, two, 1024, script)
			})
		}
	}
}
