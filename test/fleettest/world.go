package fleettest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// side is the world of one scheduler, stand-ins of our own: discovery, one backend server and a client.
type side struct {
	scheduler string // where it serves
	discovery *http.Server
	server    *http.Server
	mu        sync.Mutex
	ran       map[string]int // by id
}

// jobFor is how long a job runs at the stand-in server.
const jobFor = 3 * time.Millisecond

func newSide(scheduler, discovery, server string) (*side, error) {
	s := &side{scheduler: scheduler, ran: make(map[string]int)}
	list := http.NewServeMux()
	list.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"here","class":"toy","block":0,`+
			`"health":"in_service","share":1.0,"born_ms":0}]}`+"\n", server)
		for r.URL.Query().Get("stream") == "1" && http.NewResponseController(w).Flush() == nil {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Second):
				_, _ = fmt.Fprintln(w)
			}
		}
	})
	jobs := http.NewServeMux()
	jobs.HandleFunc("POST /api", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Txn")
		s.mu.Lock()
		s.ran[id]++
		s.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		go func() {
			time.Sleep(jobFor)
			text, _ := json.Marshal(map[string]string{"id": id, "from": "s-1", "state": "done", "result": id})
			for range 10 {
				resp, err := http.Post("http://"+scheduler+"/callback", "application/json", bytes.NewReader(text))
				if err == nil {
					_ = resp.Body.Close()
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	})
	jobs.HandleFunc("DELETE /jobs/{id}", func(http.ResponseWriter, *http.Request) {})
	for addr, h := range map[string]http.Handler{discovery: list, server: jobs} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		srv := &http.Server{Handler: h}
		if addr == discovery {
			s.discovery = srv
		} else {
			s.server = srv
		}
		go func() { _ = srv.Serve(ln) }() // until close
	}
	return s, nil
}

func (s *side) close() {
	_ = s.discovery.Close()
	_ = s.server.Close()
}

// Request is one request of a client, for the checker.
type Request struct {
	Member         string
	Sent, Answered time.Time
	Status         int // 0: the connection ended, or was never made
	Wrong          bool
	Err            string
}

// client asks one scheduler for as long as ctx lasts, a request every so often.
func client(ctx context.Context, number int, member, scheduler string, every time.Duration, keep func(Request)) {
	c := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer c.CloseIdleConnections()
	var all sync.WaitGroup
	defer all.Wait()
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all.Go(func() {
			id := fmt.Sprintf("%04x%012x", number, n)
			req, _ := http.NewRequest("POST", "http://"+scheduler+"/api?user=1", bytes.NewReader([]byte("x")))
			req.Header.Set("X-Txn", id)
			req.Header.Set("X-Lane", "saldo")
			req.Header.Set("X-Remaining-Ms", "5000")
			a := Request{Member: member, Sent: time.Now()}
			resp, err := c.Do(req)
			if err != nil {
				a.Err = err.Error()
			} else {
				text, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				a.Status = resp.StatusCode
				a.Wrong = err != nil || a.Status == 200 && string(text) != id
			}
			a.Answered = time.Now()
			keep(a)
		})
	}
}
