package api

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"ravendale/control/core"
)

// toLeader is the middleware for requests that only the leader can answer. If another process leads, it redirects the
// request there; if no leader is known, it answers with 503. Otherwise it calls the next handler.
func (s *Server) toLeader(c *fiber.Ctx) error {
	if s.options.Redirect == nil {
		return c.Next()
	}
	host, known := s.options.Redirect()
	switch {
	case !known:
		return answerFailure(c, errNoLeader)
	case host == "":
		return c.Next()
	}
	c.Set(fiber.HeaderLocation, "http://"+host+string(c.Context().URI().RequestURI()))
	return answer(c, fiber.StatusTemporaryRedirect, "another process leads")
}

var errNoLeader = errors.Join(core.ErrUnavailable, errors.New("api: no leader is known"))
