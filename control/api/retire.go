package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"ravendale/cluster/settings"
)

// maxDeadline is the longest deadline for retiring a machine; longer ones are reduced to it.
const maxDeadline = 365 * 24 * time.Hour

// retireOrder is the body of an order to retire a machine.
type retireOrder struct {
	DeadlineS *float64 `json:"deadlineS"`
}

func (s *Server) startRetire(c *fiber.Ctx) error {
	deadline, err := readDeadline(c.Body())
	if err != nil {
		return answer(c, fiber.StatusBadRequest, err.Error())
	}
	node := strings.Clone(c.Params("node")) // the original is part of the request's buffer, which is reused
	ctx, cancel := answerContext(0)
	defer cancel()
	if err := s.options.Retirer.StartRetire(ctx, node, deadline); err != nil {
		s.options.Log.Info("retirement not started", "store", node, "error", err)
		return answerRetireError(c, err)
	}
	s.options.Log.Info("retirement started", "store", node, "deadline", deadline)
	return c.JSON(stateAnswer{State: RetireRunning})
}

func readDeadline(body []byte) (time.Duration, error) {
	var order retireOrder
	if err := json.Unmarshal(body, &order); err != nil {
		return 0, fmt.Errorf("body: %w", err)
	}
	if order.DeadlineS == nil || *order.DeadlineS <= 0 {
		return 0, errors.New("deadlineS: missing, or not above 0")
	}
	if *order.DeadlineS > maxDeadline.Seconds() {
		return maxDeadline, nil
	}
	return settings.Seconds(*order.DeadlineS), nil
}

func (s *Server) showRetire(c *fiber.Ctx) error {
	ctx, cancel := answerContext(0)
	defer cancel()
	state, err := s.options.Retirer.RetireState(ctx, strings.Clone(c.Params("node")))
	if err != nil {
		return answerRetireError(c, err)
	}
	return c.JSON(stateAnswer{State: state})
}

func answerRetireError(c *fiber.Ctx, err error) error {
	switch {
	case errors.Is(err, ErrUnknownNode):
		return answer(c, fiber.StatusNotFound, err.Error())
	case errors.Is(err, ErrTooFew):
		return answer(c, fiber.StatusConflict, err.Error())
	}
	return answerFailure(c, err)
}
