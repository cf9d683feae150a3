package deploy

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// tinyProgram needs of the system what the programs need: a C compiler, the C library's headers, and the external linker.
const tinyProgram = `package main

// #include <stdio.h>
// #include <stdlib.h>
// #include <errno.h>
// #include <pthread.h>
import "C"

func main() { C.free(C.malloc(1)) }
`

// The build of system.toml gets by with Go, the base system, and what the listed packages and their dependencies bring.
func TestListedPackagesAreEnoughToBuild(t *testing.T) {
	installed := readInstalledPackages(t)
	recipe := readSystemRecipe(t)
	root := installed.lay(t, recipe.packages)
	checkout := copyOfSources(t)
	output, err := root.run(checkout, recipe.build)
	require.NoError(t, err, "%s", output)
	programs, err := os.ReadDir(filepath.Join(checkout, "target"))
	require.NoError(t, err)
	assert.Len(t, programs, strings.Count(recipe.build, "./cmd/"))
}

// No package is listed that the build does not need: without any one of them a program that is built alike is not built.
func TestEachListedPackageIsNeededToBuild(t *testing.T) {
	installed := readInstalledPackages(t)
	recipe := readSystemRecipe(t)
	build := regexp.MustCompile(`-o .*$`).ReplaceAllString(recipe.build, "-o target/ .")
	require.Contains(t, build, "-linkmode=external")
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "main.go"), []byte(tinyProgram), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "go.mod"), []byte("module tiny\n"), 0o600))

	output, err := installed.lay(t, recipe.packages).run(folder, build)
	require.NoError(t, err, "with all packages: %s", output)
	for i, missing := range recipe.packages {
		t.Run("without "+missing, func(t *testing.T) {
			rest := slices.Delete(slices.Clone(recipe.packages), i, i+1)
			output, err := installed.lay(t, rest).run(folder, build)
			assert.Error(t, err, "%s is listed, and the build does not need it: %s", missing, output)
		})
	}
}

// recipe is what the deploy file says of the build.
type recipe struct {
	build    string
	packages []string
}

var (
	buildLine    = regexp.MustCompile(`(?m)^build = "(.+)"$`)
	packagesLine = regexp.MustCompile(`(?m)^packages = \[(.*)\]$`)
	quoted       = regexp.MustCompile(`"([^"]+)"`)
)

func readSystemRecipe(t *testing.T) recipe {
	t.Helper()
	text, err := os.ReadFile("system.toml")
	require.NoError(t, err)
	top, _, _ := strings.Cut(string(text), "\n[")
	build, packages := buildLine.FindStringSubmatch(top), packagesLine.FindStringSubmatch(top)
	require.NotNil(t, build, "system.toml has no build")
	require.NotNil(t, packages, "system.toml has no list of packages")
	found := recipe{build: build[1]}
	for _, name := range quoted.FindAllStringSubmatch(packages[1], -1) {
		found.packages = append(found.packages, name[1])
	}
	require.NotEmpty(t, found.packages)
	return found
}

// debianPackage is what dpkg tells of an installed package.
type debianPackage struct {
	name    string   // as dpkg -L takes it
	depends []string // names, the installed ones of alternatives among them
	base    bool     // of the base system
}

type installedPackages map[string]debianPackage // by name, and by the names that they provide

const packageFormat = `${db:Status-Status}\t${Package}\t${binary:Package}\t${Essential}\t${Priority}\t${Provides}\t${Pre-Depends}, ${Depends}\n`

// readInstalledPackages skips the test where the machine is no Debian.
func readInstalledPackages(t *testing.T) installedPackages {
	t.Helper()
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("the packages are Debian's, and this machine has no dpkg to ask what they bring")
	}
	output, err := exec.Command("dpkg-query", "-W", "-f", packageFormat).Output()
	require.NoError(t, err)
	all := make(installedPackages)
	for line := range strings.Lines(string(output)) {
		fields := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		require.Len(t, fields, 7, "%q", line)
		if fields[0] != "installed" {
			continue
		}
		found := debianPackage{name: fields[2], base: fields[3] == "yes" || fields[4] == "required", depends: relations(fields[6])}
		all[fields[1]] = found
		for _, provided := range relations(fields[5]) {
			if _, taken := all[provided]; !taken {
				all[provided] = found
			}
		}
	}
	return all
}

// relations are the names in a field of relations, without versions, architectures and the like.
func relations(field string) []string {
	var names []string
	for _, relation := range strings.FieldsFunc(field, func(r rune) bool { return r == ',' || r == '|' }) {
		if words := strings.Fields(relation); len(words) > 0 {
			name, _, _ := strings.Cut(words[0], ":")
			names = append(names, name)
		}
	}
	return names
}

// closure adds a package and all that it depends on.
func (all installedPackages) closure(name string, found map[string]bool) {
	installed, is := all[name]
	if !is || found[installed.name] { // an alternative, or a virtual package by another name
		return
	}
	found[installed.name] = true
	for _, depends := range installed.depends {
		all.closure(depends, found)
	}
}

// systemRoot is a folder that holds links to the files of some packages, at their places.
type systemRoot struct{ folder string }

// lay makes a root of the base system and what the packages bring.
func (all installedPackages) lay(t *testing.T, packages []string) systemRoot {
	t.Helper()
	found := make(map[string]bool)
	for name, installed := range all {
		if installed.base {
			all.closure(name, found)
		}
	}
	for _, name := range packages {
		require.Contains(t, all, name, "listed, and not installed here: apt-get install %s", name)
		all.closure(name, found)
	}
	arguments := []string{"-L"}
	for name := range found {
		arguments = append(arguments, name)
	}
	output, err := exec.Command("dpkg", arguments...).Output()
	require.NoError(t, err)
	root := systemRoot{folder: t.TempDir()}
	for _, merged := range []string{"bin", "sbin", "lib", "lib64"} { // links to the folders in usr, where the machine has them so
		require.NoError(t, os.MkdirAll(filepath.Join(root.folder, "usr", merged), 0o755))
		if info, err := os.Lstat("/" + merged); err == nil && info.Mode()&fs.ModeSymlink != 0 {
			require.NoError(t, os.Symlink("usr/"+merged, filepath.Join(root.folder, merged)))
		}
	}
	for path := range strings.Lines(string(output)) {
		root.link(t, strings.TrimSuffix(path, "\n"))
	}
	return root
}

// link links a file, if a build may need it.
func (r systemRoot) link(t *testing.T, path string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil || info.IsDir() || strings.HasPrefix(path, "/usr/share/") || strings.HasPrefix(path, "/etc/") {
		return
	}
	place := filepath.Join(r.folder, path)
	if _, err := os.Lstat(place); err == nil {
		return // of two packages, or told under both names of a merged folder
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(place), 0o755))
	require.NoError(t, os.Symlink(path, place))
}

// run gives a command to a shell that finds only the root's programs and Go; the C compiler finds only the root's headers, libraries
// and programs.
func (r systemRoot) run(folder, command string) (output []byte, err error) {
	tools, err := goRoot()
	if err != nil {
		return nil, fmt.Errorf("go env GOROOT: %w", err)
	}
	shell := exec.Command(filepath.Join(r.folder, "bin", "sh"), "-c", command)
	shell.Dir = folder
	path := []string{filepath.Join(r.folder, "bin"), filepath.Join(r.folder, "usr/bin"), filepath.Join(tools, "bin")}
	shell.Env = append(goEnvironment(),
		"PATH="+strings.Join(path, ":"),
		"CC=gcc -no-canonical-prefixes --sysroot="+r.folder,
	)
	return shell.CombinedOutput()
}

// goEnvironment is what the Go tool needs: where its caches are, and where modules come from.
func goEnvironment() []string {
	var kept []string
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if name == "HOME" || name == "TMPDIR" || strings.HasPrefix(name, "GO") || strings.HasPrefix(name, "XDG_") ||
			strings.HasSuffix(strings.ToLower(name), "_proxy") || strings.HasPrefix(name, "SSL_CERT_") {
			kept = append(kept, variable)
		}
	}
	return kept
}

// goRoot is the folder of the Go tools that play the test; without an answer from them no build could work.
func goRoot() (string, error) {
	output, err := exec.Command("go", "env", "GOROOT").Output()
	return strings.TrimSpace(string(output)), err
}

// copyOfSources copies what a build reads, as a clean checkout has it.
func copyOfSources(t *testing.T) string {
	t.Helper()
	folder, sources := t.TempDir(), os.DirFS("..")
	err := fs.WalkDir(sources, ".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (path == ".git" || path == "bin" || path == "target" || path == "journal"):
			return fs.SkipDir
		case entry.IsDir():
			return os.MkdirAll(filepath.Join(folder, path), 0o755)
		case !entry.Type().IsRegular(), path == ".git": // a file in a worktree
			return nil
		}
		text, err := fs.ReadFile(sources, path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(folder, path), text, 0o600)
	})
	require.NoError(t, err)
	return folder
}
