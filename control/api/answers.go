package api

import (
	"errors"

	"github.com/gofiber/fiber/v2"

	"ravendale/cluster/catalog"
	"ravendale/control/core"
)

// retryAfterSeconds is the Retry-After header of answers that ask for a retry, in seconds.
const retryAfterSeconds = "1"

// versionAnswer acknowledges a change of the configuration.
type versionAnswer struct {
	Version uint64 `json:"version"`
}

// errorAnswer is the body of all answers with an error status.
type errorAnswer struct {
	Error    string           `json:"error"`
	Version  *uint64          `json:"version,omitempty"` // the current version
	Findings catalog.Findings `json:"findings,omitempty"`
}

// stateAnswer is the state of a machine's retirement.
type stateAnswer struct {
	State string `json:"state"`
}

func answer(c *fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(errorAnswer{Error: reason})
}

// answerFailure answers a request that could not be processed. Only status 503 guarantees that nothing was changed.
func answerFailure(c *fiber.Ctx, err error) error {
	if errors.Is(err, core.ErrUnavailable) {
		c.Set(fiber.HeaderRetryAfter, retryAfterSeconds)
		return answer(c, fiber.StatusServiceUnavailable, "unavailable: nothing was changed")
	}
	return answerUndecided(c)
}

// answerUndecided answers an order of which it is not known whether it has been applied, or still will be.
func answerUndecided(c *fiber.Ctx) error {
	return answer(c, fiber.StatusGatewayTimeout, "not decided in time: it may or may not take effect")
}

// answerError answers requests that no handler accepted, such as those to unknown paths.
func answerError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	return answer(c, status, err.Error())
}
