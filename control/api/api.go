package api

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"

	"ravendale/control/state"
	"ravendale/control/status"
)

// Submitter submits commands of package state to the replicated log. After core.ErrUnavailable the command was not and
// will never be applied; after any other error it may have been, or still may be.
type Submitter interface {
	Submit(ctx context.Context, command []byte) (result []byte, err error)
}

// Retirer retires machines of the queue. A repeated start is acknowledged again. The errors are ErrUnknownNode,
// ErrTooFew, and core.ErrUnavailable if the retirement was certainly not started; after any other error it may have
// been.
type Retirer interface {
	StartRetire(ctx context.Context, node string, deadline time.Duration) error
	RetireState(ctx context.Context, node string) (string, error)
}

// The states of a machine that is being retired.
const (
	RetireRunning = "running"
	RetireDone    = "done"
)

// Errors of a Retirer.
var (
	ErrUnknownNode = errors.New("api: no machine of the queue has this name")
	ErrTooFew      = errors.New("api: too few machines would remain")
)

// Limits of the server.
const (
	maxBodyBytes   = state.MaxDocument
	readBuffer     = 4096 // bytes; limits the request line and headers
	writeBuffer    = 1024 // bytes
	maxConnections = 1024
	readTimeout    = 60 * time.Second // for a complete request, body included
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
)

// Timeouts of an answer. Callers try another address after one second, and after a longer time for large bodies.
const (
	baseAnswerTimeout = 850 * time.Millisecond
	extraPerMiB       = time.Second // added for each MiB of the request body
	maxAnswerTimeout  = 15 * time.Second
)

// Options configures a Server.
type Options struct {
	Submitter Submitter
	Retirer   Retirer
	Log       *slog.Logger
	// Redirect returns the admin address of the leader, or "" if this process leads. ok is false if no leader is known.
	// If Redirect is nil, this process answers all requests itself.
	Redirect func() (host string, ok bool)
	// Status returns the status document of this process, without the leader's address. If it is nil, requests for the
	// status are answered with 404.
	Status func(ctx context.Context) status.Status
}

// Server serves the operators' interface.
type Server struct {
	options   Options
	app       *fiber.App
	mutations mutations
}

// mutations are faults that tests inject to check that they detect them.
type mutations struct {
	current func() uint64 // the version that this process has applied: orders on another one are refused without submitting them; nil: none are
}

// New returns a server. It does not listen before Serve is called.
func New(options Options) *Server {
	s := &Server{options: options}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		ReduceMemoryUsage:     true,
		BodyLimit:             maxBodyBytes,
		ReadBufferSize:        readBuffer,
		WriteBufferSize:       writeBuffer,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          answerError,
	})
	s.app.Post("/v1/config/set", s.set)
	s.app.Post("/v1/config/patch", s.patch)
	s.app.Get("/v1/config/show", s.show)
	s.app.Post("/v1/retire/:node/start", s.toLeader, s.startRetire)
	s.app.Get("/v1/retire/:node/show", s.toLeader, s.showRetire)
	s.app.Get("/v1/status", s.showStatus)
	s.app.Get("/v1/readyz", func(c *fiber.Ctx) error { return c.SendStatus(fiber.StatusOK) })
	return s
}

// Serve accepts connections on a listener until Shutdown is called or the listener fails.
func (s *Server) Serve(listener net.Listener) error { return s.app.Listener(listener) }

// Shutdown stops listening and waits for pending answers, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// answerContext returns a context with the timeout for answering a request whose body has the given number of bytes.
func answerContext(bodyBytes int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), answerTimeout(bodyBytes))
}

func answerTimeout(bodyBytes int) time.Duration {
	const mebibyte = 1 << 20
	extra := time.Duration(float64(bodyBytes) / mebibyte * float64(extraPerMiB))
	return min(baseAnswerTimeout+extra, maxAnswerTimeout)
}
