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

const exitCodes = `Exit codes:
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

// Codes of errors, which are what oops tells them by.
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

var exitOf = map[any]int{
	codeInvalid: exitInvalid, codeConflict: exitConflict, codeUnknown: exitUnknown, codeUnavailable: exitUnavailable,
	codeUndecided: exitUndecided, codeDamaged: exitDamaged, codeDiffers: exitDiffers, codeUsage: exitUsage, codeFile: exitFailed,
}

func codeOf(err error) int {
	if known, ok := oops.AsOops(err); ok {
		if code, ok := exitOf[known.Code()]; ok {
			return code
		}
	}
	return exitFailed
}

// printError writes what went wrong and what to do next.
func printError(stdout io.Writer, err error) {
	_, _ = fmt.Fprintln(stdout, "ravendalectl:", err)
	if known, ok := oops.AsOops(err); ok && known.Hint() != "" {
		_, _ = fmt.Fprintln(stdout, "next:", known.Hint())
	}
}

// hints say what to do next, by the kind of a failure. Commands may know better.
var hints = map[operatorclient.Kind]string{
	operatorclient.KindInvalid:     "mend what is listed and try again; config check tells all of it without a system",
	operatorclient.KindConflict:    "look at config show, and build on the version that is in place",
	operatorclient.KindNotFound:    "check the name, and the addresses that you asked",
	operatorclient.KindRefused:     "check the address: something else may listen there",
	operatorclient.KindUnavailable: "check status and the addresses, then repeat the command",
	operatorclient.KindUndecided:   "repeat the very same command: an order that was taken is acknowledged again",
}

var kinds = map[operatorclient.Kind]string{
	operatorclient.KindInvalid: codeInvalid, operatorclient.KindConflict: codeConflict, operatorclient.KindNotFound: codeUnknown,
	operatorclient.KindUnavailable: codeUnavailable, operatorclient.KindUndecided: codeUndecided,
}

// callFailed makes an error of a failed call, with a hint of the command's own unless it is empty.
func callFailed(err error, what, hint string) error {
	if err == nil {
		return nil
	}
	var failure *operatorclient.Error
	if !errors.As(err, &failure) {
		return oops.Wrapf(err, "%s", what)
	}
	if hint == "" {
		hint = hints[failure.Kind]
	}
	return oops.Code(kinds[failure.Kind]).Hint(hint).Wrapf(err, "%s", what)
}

func fileFailed(err error) error {
	return oops.Code(codeFile).Hint("check the path and its permissions").Wrap(err)
}
