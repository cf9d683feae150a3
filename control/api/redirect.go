package api

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"ravendale/control/core"
)

// toLeader answers a request that only the leader can, if this process is not it: by the way to the leader, or by 503 if none is
// known. Else it goes on to the handler.
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
