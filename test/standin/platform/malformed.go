package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"ravendale/test/standin/answers"
	"ravendale/test/standin/protocol"
)

// malformedAnswers is the fault of answers in a form that HTTP forbids.
type malformedAnswers struct {
	share float64 // of all answers
	body  string  // of the malformed answers
	count int     // sent so far
}

var malformedForms = answers.Malformed()

// formStride leads from the form of a malformed answer to that of the next one, which is of another kind.
const formStride = 37

// SetMalformed gives a share of the answers a form that HTTP forbids. The list in these has the given workers only.
func (p *Platform) SetMalformed(share float64, listed ...protocol.Instance) error {
	body, err := json.Marshal(protocol.Page{Instances: append([]protocol.Instance{}, listed...)})
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.malformed.share, p.malformed.body = share, string(body)
	return nil
}

// Malformed returns the number of malformed answers.
func (p *Platform) Malformed() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.malformed.count
}

// drawMalformed returns the text of a malformed answer, or "" if the next answer is to be valid.
func (p *Platform) drawMalformed() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if rand.Float64() >= p.malformed.share {
		return ""
	}
	form := malformedForms[p.malformed.count*formStride%len(malformedForms)]
	p.malformed.count++
	return form.Encode(answers.Answer{Status: http.StatusOK, Fields: "Content-Type: application/json\r\n", Body: p.malformed.body})
}

// writeRaw writes an answer as it is, and leaves its connection to the caller to close.
func writeRaw(w http.ResponseWriter, text string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffered.WriteString(text)
	_ = buffered.Flush()
	go func() {
		defer func() { _ = conn.Close() }()
		var rest [1]byte
		_, _ = conn.Read(rest[:])
	}()
}
