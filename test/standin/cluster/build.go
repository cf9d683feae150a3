package cluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// The programs of the system.
const (
	ProgramControl = "ravendale-control"
	ProgramEdge    = "ravendale-edge"
	ProgramStore   = "ravendale-store"
)

// Build builds the programs of the module at root into a folder, with the race detector if race is set.
func Build(ctx context.Context, root, folder string, race bool) error {
	arguments := []string{"build", "-o", folder + string(os.PathSeparator)}
	if race {
		arguments = append(arguments, "-race")
	}
	for _, program := range []string{ProgramControl, ProgramEdge, ProgramStore} {
		arguments = append(arguments, "./cmd/"+program)
	}
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Dir = root
	output, err := command.CombinedOutput()
	if err != nil {
		return fmt.Errorf("cluster: build: %w\n%s", err, output)
	}
	return nil
}

// ModuleRoot returns the nearest folder with a go.mod, from the working folder upwards.
func ModuleRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", fmt.Errorf("cluster: %w", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", fmt.Errorf("cluster: no go.mod in the working folder or above it")
		}
		folder = parent
	}
}
