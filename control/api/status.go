package api

import (
	"github.com/gofiber/fiber/v2"
)

// showStatus answers with the status document of this process.
func (s *Server) showStatus(c *fiber.Ctx) error {
	if s.options.Status == nil {
		return answer(c, fiber.StatusNotFound, "there is no status here")
	}
	ctx, cancel := answerContext(0)
	defer cancel()
	seen := s.options.Status(ctx)
	if host, known := s.leader(); known {
		seen.Core.Leading, seen.Core.LeaderAdmin = host == "", host
	}
	return c.JSON(seen)
}

func (s *Server) leader() (host string, known bool) {
	if s.options.Redirect == nil {
		return "", false
	}
	return s.options.Redirect()
}
