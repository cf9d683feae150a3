package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/samber/oops"

	"ravendale/control/operatorclient"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnavailable = 6
	exitUndecided   = 7
	exitDamaged     = 8
	exitDiffers     = 9
)

const exitCodesHelp = `Exit codes:
  0 done
  1 failed otherwise, as when a file can't be read
  2 the command line is wrong
  3 the configuration or the order is invalid
  4 it does not fit what is in place: another version, too few stores
  5 there is no such store, message or disk
  6 nobody could take the order: nothing was changed
  7 no clear answer: the order may or may not be in force
  8 the disk is damaged
  9 the configurations differ (with diff --exit-code)`

// Error codes, set with oops.Code.
const (
	codeInvalid     = "invalid"
	codeConflict    = "conflict"
	codeUnknown     = "unknown"
	codeUnavailable = "unavailable"
	codeUndecided   = "undecided"
	codeDamaged     = "damaged"
	codeDiffers     = "differs"
	codeUsage       = "usage"
	codeFile        = "file"
)

var exitCodeByErrorCode = map[any]int{
	codeInvalid: exitInvalid, codeConflict: exitConflict, codeUnknown: exitUnknown, codeUnavailable: exitUnavailable,
	codeUndecided: exitUndecided, codeDamaged: exitDamaged, codeDiffers: exitDiffers, codeUsage: exitUsage, codeFile: exitFailed,
}

func exitCodeOf(err error) int {
	if oopsErr, ok := oops.AsOops(err); ok {
		if code, ok := exitCodeByErrorCode[oopsErr.Code()]; ok {
			return code
		}
	}
	return exitFailed
}

// printError writes an error and, if it has one, its hint on what to do next.
func printError(stdout io.Writer, err error) {
	_, _ = fmt.Fprintln(stdout, "ravendalectl:", err)
	if oopsErr, ok := oops.AsOops(err); ok && oopsErr.Hint() != "" {
		_, _ = fmt.Fprintln(stdout, "next:", oopsErr.Hint())
	}
}

// hintByKind has the default hints on what to do next. Commands may pass a more specific hint to callError.
var hintByKind = map[operatorclient.Kind]string{
	operatorclient.KindInvalid:     "mend what is listed and try again; config check tells all of it without a system",
	operatorclient.KindConflict:    "look at config show, and build on the version that is in place",
	operatorclient.KindNotFound:    "check the name, and the addresses that you asked",
	operatorclient.KindRefused:     "check the address: something else may listen there",
	operatorclient.KindUnavailable: "check status and the addresses, then repeat the command",
	operatorclient.KindUndecided:   "repeat the very same command: an order that was taken is acknowledged again",
}

var errorCodeByKind = map[operatorclient.Kind]string{
	operatorclient.KindInvalid: codeInvalid, operatorclient.KindConflict: codeConflict, operatorclient.KindNotFound: codeUnknown,
	operatorclient.KindUnavailable: codeUnavailable, operatorclient.KindUndecided: codeUndecided,
}

// callError wraps the error of a failed call with an error code and a hint. An empty hint selects the default for the kind of failure.
func callError(err error, operation, hint string) error {
	if err == nil {
		return nil
	}
	var failure *operatorclient.Error
	if !errors.As(err, &failure) {
		return oops.Wrapf(err, "%s", operation)
	}
	if hint == "" {
		hint = hintByKind[failure.Kind]
	}
	return oops.Code(errorCodeByKind[failure.Kind]).Hint(hint).Wrapf(err, "%s", operation)
}

func fileError(err error) error {
	return oops.Code(codeFile).Hint("check the path and its permissions").Wrap(err)
}
