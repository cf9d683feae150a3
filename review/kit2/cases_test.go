//go:build review

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// playCase runs the script of a case. It needs the build of the deploy file and review/build-2.sh.
func playCase(t *testing.T, script string) {
	t.Helper()
	output, err := exec.Command("bash", script).CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == exitBroken:
		t.Errorf("the rule was broken:\n%s", output)
	default:
		t.Fatalf("the case could not run: %v\n%s", err, output)
	}
}

func TestStoreThatFrozeKnowsItsEdges(t *testing.T) { playCase(t, "../4/run.sh") }

func TestRetirementLeavesCoreThatBearsLoss(t *testing.T) { playCase(t, "../5/run.sh") }

func TestCoreOnStoresIsFoundWithoutSeeds(t *testing.T) { playCase(t, "../6/run.sh") }
