package api

import (
	"github.com/gofiber/fiber/v2"
)

// showStatus answers with what this process knows. It waits for no other one.
func (s *Server) showStatus(c *fiber.Ctx) error {
	if s.options.Status == nil {
		return answer(c, fiber.StatusNotFound, "there is no status here")
	}
	ctx, cancel := bound(0)
	defer cancel()
	now := s.options.Status(ctx)
	if host, known := s.leader(); known {
		now.Core.Leading, now.Core.LeaderAdmin = host == "", host
	}
	return c.JSON(now)
}

func (s *Server) leader() (host string, known bool) {
	if s.options.Redirect == nil {
		return "", false
	}
	return s.options.Redirect()
}
