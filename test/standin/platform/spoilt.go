package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"ravendale/test/standin/answers"
	"ravendale/test/standin/protocol"
)

// spoiltAnswers is the fault of answers in a form that HTTP forbids.
type spoiltAnswers struct {
	share float64 // of all answers
	body  string  // of the spoilt answers
	count int     // sent so far
}

var spoiltForms = answers.Spoilt()

// formStride leads from the form of a spoilt answer to that of the next one, which is of another kind.
const formStride = 37

// SetSpoilt gives a share of the answers a form that HTTP forbids. The list in these has the given workers only.
func (p *Platform) SetSpoilt(share float64, listed ...protocol.Instance) error {
	body, err := json.Marshal(protocol.Page{Instances: append([]protocol.Instance{}, listed...)})
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.spoilt.share, p.spoilt.body = share, string(body)
	return nil
}

// Spoilt returns the number of spoilt answers.
func (p *Platform) Spoilt() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.spoilt.count
}

// drawSpoilt returns the text of a spoilt answer, or "" if the next answer is to be sound.
func (p *Platform) drawSpoilt() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if rand.Float64() >= p.spoilt.share {
		return ""
	}
	form := spoiltForms[p.spoilt.count*formStride%len(spoiltForms)]
	p.spoilt.count++
	return form.Encode(answers.Answer{Status: http.StatusOK, Fields: "Content-Type: application/json\r\n", Body: p.spoilt.body})
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
