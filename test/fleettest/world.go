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

// standIns are the stand-ins for the systems around one scheduler: discovery and one backend server.
type standIns struct {
	scheduler string // address that it serves clients on
	discovery *http.Server
	server    *http.Server
	mu        sync.Mutex
	runs      map[string]int // number of runs by job ID
}

// jobDuration is how long a job runs on the stand-in server.
const jobDuration = 3 * time.Millisecond

func newStandIns(scheduler, discovery, server string) (*standIns, error) {
	s := &standIns{scheduler: scheduler, runs: make(map[string]int)}
	discoveryMux := http.NewServeMux()
	discoveryMux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
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
	serverMux := http.NewServeMux()
	serverMux.HandleFunc("POST /api", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Txn")
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		go func() {
			time.Sleep(jobDuration)
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
	serverMux.HandleFunc("DELETE /jobs/{id}", func(http.ResponseWriter, *http.Request) {})
	for addr, h := range map[string]http.Handler{discovery: discoveryMux, server: serverMux} {
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

func (s *standIns) close() {
	_ = s.discovery.Close()
	_ = s.server.Close()
}

// Request is a client's record of one request.
type Request struct {
	Member         string
	Sent, Answered time.Time
	Status         int  // HTTP status; 0: the connection failed or was closed before an answer
	Wrong          bool // the answer was cut short, or a 200 without the request's own result
	Err            string
}

// client sends requests to one scheduler at the given interval until ctx ends, and records the result of each.
func client(ctx context.Context, number int, member, scheduler string, interval time.Duration, record func(Request)) {
	c := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer c.CloseIdleConnections()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		inFlight.Go(func() {
			id := fmt.Sprintf("%04x%012x", number, n)
			req, _ := http.NewRequest("POST", "http://"+scheduler+"/api?user=1", bytes.NewReader([]byte("x")))
			req.Header.Set("X-Txn", id)
			req.Header.Set("X-Lane", "saldo")
			req.Header.Set("X-Remaining-Ms", "5000")
			result := Request{Member: member, Sent: time.Now()}
			resp, err := c.Do(req)
			if err != nil {
				result.Err = err.Error()
			} else {
				text, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				result.Status = resp.StatusCode
				result.Wrong = err != nil || result.Status == 200 && string(text) != id
			}
			result.Answered = time.Now()
			record(result)
		})
	}
}
