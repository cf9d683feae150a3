package api

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"ravendale/cluster/catalog"
	"ravendale/control/core"
)

// retryAfterSeconds is the Retry-After header of answers that ask for a retry, in seconds.
const retryAfterSeconds = "1"

// versionAnswer acknowledges an order.
type versionAnswer struct {
	Version uint64 `json:"version"`
}

// errorAnswer says why there is no other answer.
type errorAnswer struct {
	Error    string           `json:"error"`
	Version  *uint64          `json:"version,omitempty"` // the current one
	Findings catalog.Findings `json:"findings,omitempty"`
}

// stateAnswer is how far the retirement of a machine is.
type stateAnswer struct {
	State string `json:"state"`
}

func answer(c *fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(errorAnswer{Error: reason})
}

// answerFailure answers what could not be decided here. Only 503 promises that nothing was done.
func answerFailure(c *fiber.Ctx, err error) error {
	if errors.Is(err, core.ErrUnavailable) {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
		return answer(c, fiber.StatusServiceUnavailable, "unavailable: nothing was changed")
	}
	return answerUndecided(c)
}

// answerUndecided promises nothing: the order may have been taken, or be taken later.
func answerUndecided(c *fiber.Ctx) error {
	return answer(c, fiber.StatusGatewayTimeout, "not decided in time: it may or may not take effect")
}

// answerError answers requests that no handler took, as those to unknown paths.
func answerError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return answer(c, status, err.Error())
}
