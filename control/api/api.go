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

// Submitter puts commands of package state in their order. After core.ErrUnavailable a command surely was not and will never be
// applied; after any other error it may be.
type Submitter interface {
	Submit(ctx context.Context, command []byte) (result []byte, err error)
}

// Retirer empties machines of the queue. A duplicate start is acknowledged again. Errors: ErrUnknownNode, ErrTooFew, core.ErrUnavailable
// if certainly nothing was begun; after any other it may have been.
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

// Bounds of the server.
const (
	maxBody        = state.MaxDocument // bytes
	readBuffer     = 4096              // bytes; request line and headers have to fit in
	writeBuffer    = 1024              // bytes
	maxConnections = 1024
	readTimeout    = 60 * time.Second // for a complete request, body included
	writeTimeout   = 30 * time.Second
	idleTimeout    = 60 * time.Second
)

// Bounds of an answer: callers move on after a second, and wait longer for large bodies.
const (
	answerWithin  = 850 * time.Millisecond
	extraPerMiB   = time.Second // for each MiB of the body
	maxAnswerTime = 15 * time.Second
)

// Options of a Server.
type Options struct {
	Submitter Submitter
	Retirer   Retirer
	Log       *slog.Logger
	// Redirect is the admin address of the process that leads, empty if this one does; false: none is known. May be nil: then this
	// process answers all requests.
	Redirect func() (host string, ok bool)
	// Status returns how this process sees the system, without who leads. May be nil: then status is answered by 404.
	Status func(ctx context.Context) status.Status
}

// Server serves the operator's interface.
type Server struct {
	options   Options
	app       *fiber.App
	mutations mutations
}

// mutations are mistakes that tests make on purpose, to see that they are caught.
type mutations struct {
	current func() uint64 // orders on another version than this process has applied are refused here, not by the chain; nil: none are
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	s := &Server{options: options}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		ReduceMemoryUsage:     true,
		BodyLimit:             maxBody,
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

// Serve answers on a listener until Shutdown, or until the listener fails.
func (s *Server) Serve(listener net.Listener) error { return s.app.Listener(listener) }

// Shutdown stops listening and waits for the answers under way, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// bound is the context that an answer to a request with a body of so many bytes is worked out in.
func bound(body int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeFor(body))
}

func timeFor(body int) time.Duration {
	const mega = 1 << 20
	extra := time.Duration(float64(body) / mega * float64(extraPerMiB))
	return min(answerWithin+extra, maxAnswerTime)
}
