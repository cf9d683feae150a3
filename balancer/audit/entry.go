package audit

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// MaxEntry is the maximum size of a line in bytes; the line of a fold, which replaces a whole segment, may have maxFold.
const (
	MaxEntry = 64 << 10
	maxFold  = 4 << 20
)

// Stamp is a timestamp of a hybrid logical clock (Kulkarni and others, "Logical Physical Clocks", OPODIS 2014). It
// orders entries of several schedulers so that causes precede their effects. Wall is in Unix milliseconds and never
// less than the writer's wall clock; no decision depends on it.
type Stamp struct {
	Wall int64  `json:"w"`
	Tick uint32 `json:"t,omitempty"`
}

// Compare orders stamps.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Tick, o.Tick))
}

// Clock makes stamps. The zero value is ready.
type Clock struct{ last Stamp }

// Now returns the stamp of an event at a time of the local wall clock, in Unix milliseconds, which may step back.
func (c *Clock) Now(wall int64) Stamp {
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Tick++
	}
	return c.last
}

// Observe advances the clock past a received stamp: all later stamps of Now are greater.
func (c *Clock) Observe(received Stamp) {
	if received.Compare(c.last) > 0 {
		c.last = received
	}
}

// Kinds of entries. An entry of another kind was written by another version of the program: it is kept, shown and part
// of the chain, but not evaluated.
const (
	Start    = "start"    // a process starts; Before is the head of the record at that time
	Stop     = "stop"     // a process ends as planned
	Proposed = "proposed" // an operator proposed an epoch to this member
	Accepted = "accepted" // this member votes for an epoch
	InForce  = "in-force" // this member knows that an epoch is in force: a majority voted for it, or a peer reported so
	Adopted  = "adopted"  // this member runs under an epoch from now on; From is the peer that had it
	Refused  = "refused"  // this member rejected an epoch or a peer's message
	Standing = "standing" // whether this member may take requests, and why not
	Member   = "member"   // the state of a peer changed
	Command  = "command"  // a command of an operator: detach, attach, lame duck, settings read again
	List     = "list"     // the list of servers in use
	Span     = "span"     // what this member did since the last span, under one epoch
	Gap      = "gap"      // number of entries that could not be written
	Witness  = "witness"  // heads of the peers' records as they reported them, and offsets of their clocks
	Fold     = "fold"     // replaces the spans of a segment by sums
	Segment  = "segment"  // the first line of a file
	Amnesiac = "amnesiac" // the disk is older than what peers remember of this member, so it does not vote
)

// ID identifies an epoch by number and content. The zero value means none.
type ID struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest,omitempty"` // SHA-256 of the content, in hex
}

// String returns the number and the first 8 digits of the digest.
func (id ID) String() string { return fmt.Sprintf("%d:%.8s", id.Number, id.Digest) }

// Head identifies the last entry of a record, by its number and the hash of its line.
type Head struct {
	Incarnation uint64 `json:"inc"`
	Seq         uint64 `json:"seq"`
	Hash        string `json:"hash,omitempty"`
}

// Count holds the numbers of requests of a class by outcome.
type Count struct {
	Taken   int `json:"taken,omitempty"`
	Served  int `json:"served,omitempty"`
	Refused int `json:"refused,omitempty"`
	Failed  int `json:"failed,omitempty"`
}

// Seen is the part of a witness entry about one peer.
type Seen struct {
	Head  Head  `json:"head"`
	OffMs int64 `json:"off_ms"` // the peer's monotonic clock minus the writer's; ErrMs bounds its error
	ErrMs int64 `json:"err_ms"`
}

// Entry is an entry of a record, one line. Only the fields that are set have a meaning.
type Entry struct {
	Seq  uint64 `json:"seq"`
	At   Stamp  `json:"at"`
	Wall int64  `json:"wall"` // the writer's wall clock, in Unix milliseconds: only displayed, no decision depends on it
	Mono int64  `json:"mono"` // the writer's monotonic clock, in milliseconds since its start
	Kind string `json:"kind"`

	Epoch  *ID    `json:"epoch,omitempty"`
	Floor  uint64 `json:"floor,omitempty"`  // of that epoch: no member may run under an epoch below the floor,
	Within int64  `json:"within,omitempty"` // from so many milliseconds after the epoch is in force
	From   string `json:"from,omitempty"`
	Peer   string `json:"peer,omitempty"`
	State  string `json:"state,omitempty"`
	Why    string `json:"why,omitempty"`
	Acts   *bool  `json:"acts,omitempty"`

	Trust    int64             `json:"trust,omitempty"` // for so many milliseconds after messages exchanged with a majority a member is trusted
	Build    string            `json:"build,omitempty"`
	File     string            `json:"file,omitempty"`     // digest of the operator's file
	Settings string            `json:"settings,omitempty"` // digest of the platform's settings
	List     int64             `json:"list,omitempty"`     // seq of the list of servers
	Command  string            `json:"words,omitempty"`    // text of a command
	Since    int64             `json:"since,omitempty"`    // Mono at which a span began
	Marked   bool              `json:"marked,omitempty"`
	Sent     int               `json:"sent,omitempty"`
	Classes  map[string]Count  `json:"classes,omitempty"`
	Lost     uint64            `json:"lost,omitempty"` // in a gap: number of entries
	Seen     map[string]Seen   `json:"seen,omitempty"`
	Before   *Head             `json:"before,omitempty"`
	Kept     []json.RawMessage `json:"kept,omitempty"`  // in a fold: the entries that are not spans
	Upto     uint64            `json:"upto,omitempty"`  // in a fold: number of the last entry that it replaces
	Spans    []Entry           `json:"spans,omitempty"` // in a fold: the sums

	Name        string `json:"member,omitempty"` // in a segment entry, as the next three
	Incarnation uint64 `json:"inc,omitempty"`
	Number      int    `json:"segment,omitempty"`
	Prev        string `json:"prev,omitempty"` // hash of the last line of the previous file
}

const hashSize = 16 // bytes of the truncated SHA-256

// chain returns the hash of a line's text, chained to the previous line's hash.
func chain(prev string, text []byte) string {
	h := sha256.New()
	h.Write([]byte(prev))
	h.Write(text)
	return hex.EncodeToString(h.Sum(nil)[:hashSize])
}

// appendLine appends an entry as a line, chained to a line with hash prev.
func appendLine(b []byte, prev string, e *Entry) (appended []byte, hash string, err error) {
	text, err := json.Marshal(e)
	if err != nil {
		return b, prev, fmt.Errorf("entry %d: %w", e.Seq, err)
	}
	if maxSize := map[bool]int{true: maxFold, false: MaxEntry}[e.Kind == Fold]; len(text) > maxSize-2*hashSize-2 {
		return b, prev, fmt.Errorf("entry %d: more than %d bytes", e.Seq, maxSize)
	}
	hash = chain(prev, text)
	b = append(append(append(b, hash...), ' '), text...)
	return append(b, '\n'), hash, nil
}

// Errors of readLine.
var (
	errFormat = errors.New("not a line of a record")
	errChain  = errors.New("line is altered, or does not follow the previous line")
)

// readLine parses a line, given without its newline, and checks its hash.
func readLine(prev string, line []byte) (e *Entry, hash string, err error) {
	if len(line) < 2*hashSize+1 || line[2*hashSize] != ' ' {
		return nil, "", errFormat
	}
	hash, text := string(line[:2*hashSize]), line[2*hashSize+1:]
	e = &Entry{}
	if err := json.Unmarshal(text, e); err != nil || e.Kind == "" {
		return nil, hash, errFormat
	}
	if chain(prev, text) != hash {
		return e, hash, errChain
	}
	return e, hash, nil
}
