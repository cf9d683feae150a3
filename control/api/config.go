package api

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/gofiber/fiber/v2"

	"ravendale/cluster/catalog"
	"ravendale/control/state"
)

// baseHeader is the header with the version that a change is based on.
const baseHeader = "Base-Version"

// order is an operator's order to change the configuration.
type order struct {
	name    string // for logs
	base    uint64
	body    []byte // part of the request's buffer: must not be used after the request
	command state.Command
}

func (s *Server) set(c *fiber.Ctx) error {
	base, err := baseVersion(c)
	if err != nil {
		return answer(c, fiber.StatusBadRequest, err.Error())
	}
	body := c.Body()
	if _, err := catalog.Parse(body); err != nil {
		return s.answerInvalid(c, order{name: "set", base: base}, err)
	}
	return s.change(c, order{name: "set", base: base, body: body, command: &state.Set{Base: base, Body: body}})
}

func (s *Server) patch(c *fiber.Ctx) error {
	base, err := baseVersion(c)
	if err != nil {
		return answer(c, fiber.StatusBadRequest, err.Error())
	}
	body := c.Body()
	if err := catalog.CheckPatch(body); err != nil {
		return s.answerInvalid(c, order{name: "patch", base: base}, err)
	}
	return s.change(c, order{name: "patch", base: base, body: body, command: &state.Patch{Base: base, Body: body}})
}

func baseVersion(c *fiber.Ctx) (uint64, error) {
	text := c.Get(baseHeader)
	if text == "" {
		return 0, fmt.Errorf("%s: missing", baseHeader)
	}
	base, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %q is not a version", baseHeader, text)
	}
	return base, nil
}

// change submits an order and answers with the outcome. The caller has already refused orders that are invalid by
// themselves. Such an answer can't contradict an order that was applied, since that one had passed the same check.
func (s *Server) change(c *fiber.Ctx, o order) error {
	if s.mutations.current != nil && s.mutations.current() != o.base {
		return answer(c, fiber.StatusPreconditionFailed, state.OutcomeRefusedVersion.String())
	}
	ctx, cancel := answerContext(len(o.body))
	defer cancel()
	result, err := s.submit(ctx, o.command)
	if err != nil {
		s.options.Log.Warn("order not decided", "order", o.name, "base", o.base, "error", err)
		return answerFailure(c, err)
	}
	switch result.Outcome {
	case state.OutcomeApplied, state.OutcomeDuplicate:
		s.options.Log.Info("order acknowledged", "order", o.name, "base", o.base, "version", result.Version, "outcome", result.Outcome)
		return c.JSON(versionAnswer{Version: result.Version})
	case state.OutcomeRefusedVersion:
		s.options.Log.Info("order refused", "order", o.name, "base", o.base, "reason", result.Outcome, "version", result.Version)
		return c.Status(fiber.StatusPreconditionFailed).JSON(errorAnswer{Error: result.Outcome.String(), Version: &result.Version})
	case state.OutcomeInvalid:
		return s.answerInvalid(c, o, result.CatalogFindings())
	case state.OutcomeUnsure:
		s.options.Log.Warn("order not decided", "order", o.name, "base", o.base, "reason", result.Outcome)
		return answerUndecided(c)
	}
	s.options.Log.Error("unexpected outcome of an order", "order", o.name, "outcome", result.Outcome, "findings", result.CatalogFindings())
	return answer(c, fiber.StatusInternalServerError, result.Outcome.String())
}

func (s *Server) answerInvalid(c *fiber.Ctx, o order, err error) error {
	var findings catalog.Findings
	if !errors.As(err, &findings) || len(findings) == 0 {
		findings = catalog.Findings{{Place: "document", Reason: err.Error()}}
	}
	s.options.Log.Info("order refused", "order", o.name, "base", o.base, "reason", state.OutcomeInvalid, "findings", len(findings), "first", findings[0])
	return c.Status(fiber.StatusBadRequest).JSON(errorAnswer{Error: "the configuration is invalid", Findings: findings})
}

func (s *Server) show(c *fiber.Ctx) error {
	ctx, cancel := answerContext(0)
	defer cancel()
	result, err := s.submit(ctx, &state.Show{})
	if err != nil {
		s.options.Log.Warn("failed to read the configuration", "error", err)
		return answerFailure(c, err)
	}
	if len(result.Document) == 0 {
		return answer(c, fiber.StatusNotFound, "there is no configuration yet")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(result.Document)
}

func (s *Server) submit(ctx context.Context, command state.Command) (*state.Result, error) {
	encoded, err := state.Encode(command)
	if err != nil {
		return nil, err
	}
	result, err := s.options.Submitter.Submit(ctx, encoded)
	if err != nil {
		return nil, err
	}
	return state.DecodeResult(result)
}
