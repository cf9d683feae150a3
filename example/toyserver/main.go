// Toyserver plays one backend server and discovery, so that ravendale can be tried on one machine. It takes
// each job, tells that it has started, and after a moment that it is done.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"time"
)

const name = "s-toy"

func main() {
	scheduler := flag.String("scheduler", "127.0.0.1:9000", "where ravendale listens")
	listen := flag.String("listen", "127.0.0.1:9101", "where jobs come")
	discovery := flag.String("discovery", "127.0.0.1:8500", "where the list is asked for")
	run := flag.Duration("run", 200*time.Millisecond, "how long a job runs")
	flag.Parse()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	go func() {
		log.Error("discovery ended", "err", http.ListenAndServe(*discovery, list(*listen)))
		os.Exit(1)
	}()
	log.Error("server ended", "err", http.ListenAndServe(*listen, jobs(*scheduler, *run, log)))
	os.Exit(1)
}

// list answers a watch with the whole list, and then with an empty line every 2 s.
func list(dial string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":%q,"dial":%q,"site":"here","class":"toy",`+
			`"block":0,"health":"in_service","share":1.0,"born_ms":0}]}`+"\n", name, dial)
		for r.URL.Query().Get("stream") == "1" {
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				_, _ = fmt.Fprintln(w)
			}
		}
	})
	return mux
}

func jobs(scheduler string, run time.Duration, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Txn")
		w.WriteHeader(http.StatusAccepted)
		go func() {
			tell(scheduler, log, map[string]string{"id": id, "from": name, "state": "started"})
			time.Sleep(run)
			tell(scheduler, log, map[string]string{"id": id, "from": name, "state": "done", "result": "toy result of " + id + "\n"})
		}()
	})
	mux.HandleFunc("DELETE /jobs/{id}", func(http.ResponseWriter, *http.Request) {}) // a toy runs on
	return mux
}

func tell(scheduler string, log *slog.Logger, word map[string]string) {
	body, err := json.Marshal(word)
	if err != nil {
		log.Error("call-back", "err", err)
		return
	}
	resp, err := http.Post("http://"+scheduler+"/callback", "application/json", bytes.NewReader(body))
	if err != nil {
		log.Error("call-back", "err", err)
		return
	}
	_ = resp.Body.Close()
}
