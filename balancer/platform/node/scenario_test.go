package node

import (
	"fmt"
	"strings"
	"testing"
)

var one, two = []string{"w1"}, []string{"w1", "w2"}

// A request that no usual client would send must be rejected and not forwarded, and nothing after it may be read.
func TestInvalidRequestsRejected(t *testing.T) {
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
		"call-back done is the answer": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			w1/1 202
			call w1 a1 started
			c1 expect nothing
			call w1 a1 done fine
			c1 expect 200 fine`},
		"call-back before the 202, repeated and late": {one, 1024, `
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
		"call-backs on unknown jobs and from other servers are ignored": {one, 1024, `
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
		"refused connection: request is sent elsewhere": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 refuse
			w2/1 accept
			wait 1ms
			w2/1 202
			call w2 a1 done ok
			c1 expect 200 ok`},
		"failed connections do not count as attempts": {one, 1024, `
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
		"connect timeout of the settings": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			wait 249ms
			w1/1 expect nothing
			wait 2ms
			w1/1 expect closed`},
		"connection lost before the last byte: request is sent elsewhere": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 stuck
			w1/1 accept
			wait 1ms
			w1/1 close
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 4999 hi`},
		"last byte is held back until a reset would have arrived": {two, 1024, `
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
		"client leaves before the last byte: connection is closed": {one, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			c1 close
			wait 10ms
			w1/1 expect closed`},
		"repeatable request is written at once": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi`},
		"response before the last byte: request is sent elsewhere": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			w1/1 503
			w1/1 expect closed
			w2/1 accept
			wait 1ms
			w2/1 expect POST /api a1 5000 hi`},
		"unrepeatable request uses a new connection after a reused one broke": {two, 1024, `
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
		"last byte is held back for the fastest response time on a reused connection": {one, 1024, `
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
		"unaccepted job is sent elsewhere unless it must not run twice": {two, 1024, `
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
		"second response to the previous request is not taken for a response to the next": {one, 1024, `
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
		"second response to a DELETE is not taken for a response to the next request": {one, 1024, `
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
		"rested connection carries an unrepeatable request without an extra delay": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			call w1 a1 done x
			wait 20ms
			c1 ask a2 pay 5000
			wait 1ms
			w1/1 expect POST /api a1 5000 hi; POST /api a2 5000 hi`},
		"connection lost after the last byte: not sent again": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 close
			c1 expect 504`},
		"turned away or returned: request did not run": {two, 1024, `
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
		"503 without X-Turned-Away: request may have run": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 503
			c1 expect 504`},
		"4xx response is not counted against the server": {one, 1024, `
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
		"state lost: request may have run": {two, 1024, `
			c1 open
			c1 ask a1 pay 5000
			w1/1 accept
			wait 1ms
			w1/1 202
			call w1 a1 lost
			c1 expect 504`},
		"client leaves before the 202: connection is closed": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 expect POST /api a1 5000 hi
			c1 close
			w1/1 expect closed
			call w1 a1 done late`},
		"cancel that crosses the 202 sends a DELETE": {one, 1024, `
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
		"timeout that crosses the 202 sends a DELETE on an idle connection": {one, 1024, `
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
		"unaccepted keyed job is deleted before it is sent to the same server again": {one, 1024, `
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
		"no DELETE for an attempt that has not begun": {one, 1024, `
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
		"client leaves after the 202: DELETE is sent": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c1 close
			w1/1 expect POST /api a1 5000 hi; DELETE /jobs/a1
			w1/1 200`},
		"DELETE on a closed connection is sent once more": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			w1/1 accept
			w1/1 202
			c1 close
			w1/1 close
			w1/2 accept
			w1/2 expect DELETE /jobs/a1
			w1/2 close`},
		"answer is sent before the client's deadline": {one, 1024, `
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
		"job whose only connection failed counts as unsent": {one, 1024, `
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
		"unsent job is refused with Retry-After and counted by reason": {nil, 1024, `
			c1 open
			c1 ask a1 pay 300
			wait 297ms
			c1 expect 503 retry
			c2 open
			c2 ask a2 pay 0
			c2 expect 503 retry
			op1 call GET /_vars
			op1 expect 200 ` + figures("deferred.pay:2 unsent.no_start:1 unsent.no_time:1", "cluster_size:0") + ` close; end`},
		"idle connections are reused, and closed before the server closes them": {one, 1024, `
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
		"remaining time is passed to the server": {one, 1024, `
			c1 open
			c1 ask a1 read 5000
			wait 100ms
			w1/1 accept
			w1/1 expect POST /api a1 4900 hi`},
		"key is passed to the server": {one, 1024, `
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
		"chunked bodies are forwarded completely": {one, 1024, `
			c1 open
			c1 send POST /api HTTP/1.1\nX-Txn: 00000000000000a1\nX-Lane: read\nX-Remaining-Ms: 5000\nTransfer-Encoding: chunked\n\n3\nabc\n2
			c1 send \nde\n0\n\n
			w1/1 accept
			w1/1 expect POST /api a1 5000 abcde`},
		"invalid input is answered and the connection closed": {one, 1024, `
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
		"incomplete request is rejected within 3 s of connecting": {one, 1024, `
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
		"connection stays open after a valid request": {one, 1024, `
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
		"repeated ID is rejected while in progress and for some time after": {one, 1024, `
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
		"drain stops unwritten sends at once": {two, 1024, `
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
		"silent watch is renewed from the last version": {one, 1024, `
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
		"incomplete object does not keep a watch alive, and an object may span lines": {one, 1024, `
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
		"new discovery address is asked at once for the complete list": {one, 1024, `
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
		"failures of the old discovery do not delay the new one": {one, 1024, `
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
		"invalid configuration changes nothing": {one, 1024, `
			wait 30ms
			disc/1 accept
			reload
			reload nonsense
			disc/1 expect GET /v1/endpoints?stream=1&index=41
			c1 open
			c1 ask a1 read 5000
			w1/1 accept`},
		"scheduler stays ready while discovery is down": {one, 1024, `
			wait 30ms
			disc/1 refuse
			wait 2s
			disc/2 accept
			disc/2 503
			disc/2 expect GET /v1/endpoints?stream=1&index=41; closed
			c1 open
			c1 send GET /ready HTTP/1.1\n\n
			c1 expect 200 ready`},
		"stop serves, then refuses, and answers all requests": {one, 1024, `
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
		"neither a reload nor an unanswered watch delays a stop": {one, 1024, `
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
		"stop before the first list answers waiting requests": {nil, 1024, `
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
		"stop waits at most LingerFor for clients to close": {one, 1024, `
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
		"management endpoint answers each call once, with distinct errors": {one, 1024, `
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
		"silent management connections are dropped and use no client descriptors": {one, 64, `
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
		"figures have all lines from the start and count answers and complete sends": {two, 1024, `
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
		"detached server receives nothing until it is attached": {two, 1024, `
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
		"lameduck sends clients away and can be undone": {one, 1024, `
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
		"new version takes over while the old one finishes its requests": {one, 1024, `
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
		"state passed to a new version stays in force, and operators reach both processes": {two, 1024, `
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
		"third version starts before the first has ended": {one, 1024, `
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
		"two processes share the limits equally": {nil, 64, `
			upgrade
			crowd 17 ask # read 5000
			crowd16 expect nothing
			crowd17 expect 503 retry close; end
			old end
			c1 open
			c1 ask a1 read 5000
			c1 expect nothing`},
		"stopped old version ends once all requests are answered": {one, 1024, `
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
		"old version continues if the new one ends": {one, 64, `
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
		"new settings apply to new jobs, and an invalid file is ignored": {one, 1024, `
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
		"silent connections are dropped for new ones": {one, 64, `
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
		"idle clients are closed, longest idle first": {one, 64, `
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
		"limit on requests in progress leaves room for call-backs": {nil, 64, `
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
			if name == "silent connections are dropped for new ones" && cores[0] > 0 {
				continue // which connections are dropped depends on their cores
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

// If lists are pushed, the module never requests one, and the table itself must keep a watch on the agent. Without the watch, no
// update is received after a start, and jobs are sent to draining servers (seen 1.7 s after the agent was notified).
func TestPushedLists(t *testing.T) {
	for name, script := range map[string]string{
		"watch opens at the start and delivers a drain": `
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
		"ended watch is renewed from the last version with backoff": `
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
		"silent agent is called again after a missed line": `
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
		"incomplete object does not keep a watch on an agent alive": `
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
		"new agent address is watched at once and the list stays in use": `
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
