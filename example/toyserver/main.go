// Toyserver is a stand-in for one backend server and for discovery, so that ravendale can be tried on one machine. It accepts
// every job, reports its start to the scheduler, and reports it as done after the time given by -run.
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
		log.Error("discovery listener failed", "err", http.ListenAndServe(*discovery, discoveryHandler(*listen)))
		os.Exit(1)
	}()
	log.Error("job listener failed", "err", http.ListenAndServe(*listen, jobHandler(*scheduler, *run, log)))
	os.Exit(1)
}

// discoveryHandler answers a request with the whole list of servers. A streaming request then gets an empty line every 2 s.
func discoveryHandler(serverAddress string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":%q,"dial":%q,"site":"here","class":"toy",`+
			`"block":0,"health":"in_service","share":1.0,"born_ms":0}]}`+"\n", name, serverAddress)
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

func jobHandler(scheduler string, run time.Duration, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Txn")
		w.WriteHeader(http.StatusAccepted)
		go func() {
			sendCallback(scheduler, log, map[string]string{"id": id, "from": name, "state": "started"})
			time.Sleep(run)
			sendCallback(scheduler, log, map[string]string{"id": id, "from": name, "state": "done", "result": "toy result of " + id + "\n"})
		}()
	})
	mux.HandleFunc("DELETE /jobs/{id}", func(http.ResponseWriter, *http.Request) {}) // cancelling is not supported: the job continues
	return mux
}

func sendCallback(scheduler string, log *slog.Logger, message map[string]string) {
	body, err := json.Marshal(message)
	if err != nil {
		log.Error("encoding the callback failed", "err", err)
		return
	}
	resp, err := http.Post("http://"+scheduler+"/callback", "application/json", bytes.NewReader(body))
	if err != nil {
		log.Error("sending the callback failed", "err", err)
		return
	}
	_ = resp.Body.Close()
}
