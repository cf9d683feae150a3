package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"ravendale/balancer/audit"
	"ravendale/balancer/fleet"
)

// request is what an operator's tool sends; the answer is a Status.
type request struct {
	Verb    string          `json:"verb"` // status or roll-out
	Content json.RawMessage `json:"content,omitempty"`
}

// Status is a member's view of its fleet.
type Status struct {
	Error    string                `json:"error,omitempty"`
	Name     string                `json:"name"`
	Inc      uint64                `json:"incarnation"`
	Build    string                `json:"build"`
	Acting   audit.ID              `json:"acting"`
	Vote     audit.ID              `json:"vote"`
	Force    audit.ID              `json:"force"`
	Amnesiac bool                  `json:"amnesiac"`
	Votes    bool                  `json:"votes"`
	Standing fleet.Standing        `json:"standing"`
	Record   audit.Figures         `json:"record"`
	Head     audit.Head            `json:"head"`
	Refused  uint64                `json:"refused"`
	Peers    map[string]PeerStatus `json:"peers"`
}

// PeerStatus is a member's view of one peer. Ages are in milliseconds, -1 for never.
type PeerStatus struct {
	State      fleet.PeerState `json:"state"`
	Inc        uint64          `json:"incarnation"`
	Acting     audit.ID        `json:"acting"`
	Vote       audit.ID        `json:"vote"`
	HeardMs    int64           `json:"heard_ms"`
	AnsweredMs int64           `json:"answered_ms"`
	Link       string          `json:"link"`    // "up", or "down" and the reason
	SkewMs     int64           `json:"skew_ms"` // the peer's wall clock minus this member's
	Bytes      int64           `json:"bytes"`   // total size of the messages sent to the peer
	Dropped    int             `json:"dropped"`
}

// command executes the request of an operator's tool and returns the encoded Status.
func (a *Agent) command(content []byte) []byte {
	var r request
	dec := json.NewDecoder(bytes.NewReader(content))
	dec.DisallowUnknownFields()
	s := a.Status()
	switch err := dec.Decode(&r); {
	case err != nil:
		s.Error = "the call makes no sense: " + err.Error()
	case r.Verb == "status":
	case r.Verb == "roll-out":
		e, err := fleet.Unpack(r.Content)
		var acts []fleet.Action
		if err == nil {
			acts, err = a.core.Propose(a.options.Loop.Now(), e)
		}
		if err != nil {
			s.Error = err.Error()
		}
		a.execute(acts)
	default:
		s.Error = fmt.Sprintf("there is no call %q", r.Verb)
	}
	text, err := json.Marshal(s)
	if err != nil {
		return []byte(`{"error":"no answer can be written"}`)
	}
	return text
}

// Status returns this member's current view of its fleet.
func (a *Agent) Status() Status {
	now := a.options.Loop.Now()
	s := Status{Name: a.options.Member.Me, Inc: a.core.Incarnation(), Build: a.options.Build, Acting: a.core.Acting(), Vote: a.core.Vote(),
		Force: a.core.InForce(), Amnesiac: a.core.Amnesiac(), Votes: a.core.Votes(), Standing: a.core.StandingAt(now), Record: a.log.Figures(), Head: a.log.Head(),
		Refused: a.refused, Peers: make(map[string]PeerStatus)}
	age := func(at time.Duration) int64 {
		if at < 0 {
			return -1
		}
		return (now - at).Milliseconds()
	}
	for _, p := range a.core.Peers() {
		n := a.links[p.Name]
		ps := PeerStatus{State: p.State, Inc: p.Inc, Acting: p.Adopted, Vote: p.Accepted, HeardMs: age(p.Heard), AnsweredMs: age(p.Answered),
			Link: "up", SkewMs: n.skew, Bytes: n.bytesSent}
		if !n.up {
			ps.Link = "down"
			if n.downReason != "" {
				ps.Link += ": " + n.downReason
			}
		} else {
			ps.Dropped = n.link.Dropped
		}
		s.Peers[p.Name] = ps
	}
	return s
}
