package queue

import (
	"fmt"
	"strings"

	"ravendale/cluster/wire"
)

func modelMessageOf(id string) wire.Message {
	return wire.Message{ID: id, Key: "k", Ordered: true, Body: []byte(id), RetentionMs: 3_600_000}
}

func (w *world) put(id string) {
	e := w.edge("e")
	if e.held[id] == nil {
		e.held[id] = &modelHeld{}
	}
	e.held[id].asked = true
	put := &wire.Put{Epoch: e.epoch, Message: modelMessageOf(id), Dispatch: true}
	w.link(e.name, w.primary(e).name).ends[0].request(wire.MethodPut, put, "put "+id)
}

// work runs a message at a worker, or reports that it has ended.
func (w *world) work(what string, e *modelEdge, id string) {
	held := e.held[id]
	switch what {
	case "run":
		held.running = true
		w.checkRun(e, id)
	case "finish":
		held.running, held.ended = false, true
		w.messages[id].ended = true
	case "report":
		held.asked = true
		report := &wire.Report{Epoch: e.epoch, ID: id, Kind: wire.ReportDone, Signature: "s"}
		w.link(e.name, w.primary(e).name).ends[0].request(wire.MethodReport, report, "report "+id)
	}
}

func (w *world) checkRun(by *modelEdge, id string) {
	for _, e := range w.edges {
		if other := e.held[id]; e != by && other != nil && other.running {
			w.fault("%s runs at %s and at %s", id, e.name, by.name)
		}
	}
	for _, earlier := range modelMessages {
		if earlier == id {
			return
		}
		if m := w.messages[earlier]; m.accepted && !m.ended {
			w.fault("%s runs before %s has ended", id, earlier)
		}
	}
}

// hear takes what a store sends to an edge.
func (w *world) hear(e *modelEdge, l *modelLink, p packet) {
	if !p.answer {
		w.granted(e, l, decode[wire.Grant](p.payload))
		return
	}
	words := strings.Fields(p.call)
	switch words[0] {
	case "claim":
		w.claimed(e, l, words[1], decode[wire.ClaimReply](p.payload))
	case "put":
		w.answeredPut(e, words[1], decode[wire.PutReply](p.payload))
	case "report":
		held := e.held[words[1]]
		if held == nil {
			return
		}
		held.asked = false
		if decode[wire.ReportReply](p.payload).Code == wire.PutKept {
			w.messages[words[1]].reported = true
			delete(e.held, words[1])
		}
	}
}

func (w *world) granted(e *modelEdge, l *modelLink, grant *wire.Grant) {
	held := e.held[grant.ID]
	if held == nil {
		if !grant.HasMessage {
			report := &wire.Report{Epoch: e.epoch, ID: grant.ID, Kind: wire.ReportReleased}
			l.ends[0].request(wire.MethodReport, report, "release "+grant.ID)
			return
		}
		held = &modelHeld{}
		e.held[grant.ID] = held
	}
	held.kept, held.granted = true, true
}

func (w *world) claimed(e *modelEdge, l *modelLink, epoch string, reply *wire.ClaimReply) {
	if epoch != fmt.Sprint(e.epoch) {
		return
	}
	if reply.Code != wire.PutKept {
		if s := w.store(l.to); s.core.epoch() >= e.epoch { // else it is claimed when the store has the view
			w.claim(e, s)
		}
		return
	}
	for _, id := range reply.Unknown {
		if held := e.held[id]; held != nil && held.kept && !held.running && !held.ended {
			delete(e.held, id)
		}
	}
}

func (w *world) answeredPut(e *modelEdge, id string, reply *wire.PutReply) {
	held := e.held[id]
	if held != nil {
		held.asked = false
	}
	if reply.Code != wire.PutKept {
		return
	}
	w.messages[id].accepted = true
	if held != nil {
		held.kept = true
		held.granted = held.granted || reply.Granted
	}
}
