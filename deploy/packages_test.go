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

// minimalProgram has the same build dependencies as the real programs: a C compiler, the C library's headers, and the external
// linker.
const minimalProgram = `package main

// #include <stdio.h>
// #include <stdlib.h>
// #include <errno.h>
// #include <pthread.h>
import "C"

func main() { C.free(C.malloc(1)) }
`

// Checks that the build command in system.toml succeeds with only Go, the base system, and the listed packages and their
// dependencies.
func TestListedPackagesAreEnoughToBuild(t *testing.T) {
	installed := readInstalledPackages(t)
	recipe := readSystemRecipe(t)
	root := installed.linkPackages(t, recipe.packages)
	checkout := copyOfSources(t)
	output, err := root.run(checkout, recipe.build)
	require.NoError(t, err, "%s", output)
	programs, err := os.ReadDir(filepath.Join(checkout, "target"))
	require.NoError(t, err)
	assert.Len(t, programs, strings.Count(recipe.build, "./cmd/"))
}

// Checks that every listed package is needed: building a minimal program by the same command fails without any one of them.
func TestEachListedPackageIsNeededToBuild(t *testing.T) {
	installed := readInstalledPackages(t)
	recipe := readSystemRecipe(t)
	build := regexp.MustCompile(`-o .*$`).ReplaceAllString(recipe.build, "-o target/ .")
	require.Contains(t, build, "-linkmode=external")
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "main.go"), []byte(minimalProgram), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "go.mod"), []byte("module tiny\n"), 0o600))

	output, err := installed.linkPackages(t, recipe.packages).run(folder, build)
	require.NoError(t, err, "with all packages: %s", output)
	for i, missing := range recipe.packages {
		t.Run("without "+missing, func(t *testing.T) {
			rest := slices.Delete(slices.Clone(recipe.packages), i, i+1)
			output, err := installed.linkPackages(t, rest).run(folder, build)
			assert.Error(t, err, "package %s is listed, but the build succeeds without it: %s", missing, output)
		})
	}
}

// recipe is the build command and the package list of the deploy file.
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
	require.NotNil(t, build, "system.toml has no build line above its first table")
	require.NotNil(t, packages, "system.toml has no packages line above its first table")
	parsed := recipe{build: build[1]}
	for _, name := range quoted.FindAllStringSubmatch(packages[1], -1) {
		parsed.packages = append(parsed.packages, name[1])
	}
	require.NotEmpty(t, parsed.packages)
	return parsed
}

// debianPackage is an installed package as dpkg describes it.
type debianPackage struct {
	name    string   // in the form that dpkg -L accepts
	depends []string // package names, including all alternatives
	base    bool     // belongs to the base system
}

type installedPackages map[string]debianPackage // by package name and by the names of the virtual packages that it provides

const packageFormat = `${db:Status-Status}\t${Package}\t${binary:Package}\t${Essential}\t${Priority}\t${Provides}\t${Pre-Depends}, ${Depends}\n`

// readInstalledPackages returns the installed packages. It skips the test on machines without dpkg.
func readInstalledPackages(t *testing.T) installedPackages {
	t.Helper()
	if _, err := exec.LookPath("dpkg-query"); err != nil {
		t.Skip("the listed packages are Debian packages, and this machine has no dpkg-query to list their files")
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
		pkg := debianPackage{name: fields[2], base: fields[3] == "yes" || fields[4] == "required", depends: relations(fields[6])}
		all[fields[1]] = pkg
		for _, provided := range relations(fields[5]) {
			if _, taken := all[provided]; !taken {
				all[provided] = pkg
			}
		}
	}
	return all
}

// relations returns the package names in a dependency field, without versions and architectures.
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

// closure adds an installed package and all its transitive dependencies to found.
func (all installedPackages) closure(name string, found map[string]bool) {
	installed, ok := all[name]
	if !ok || found[installed.name] { // an alternative that isn't installed, or already added, perhaps under a virtual name
		return
	}
	found[installed.name] = true
	for _, depends := range installed.depends {
		all.closure(depends, found)
	}
}

// systemRoot is a root folder that contains symbolic links to the files of selected packages, at their usual paths.
type systemRoot struct{ folder string }

// linkPackages creates a root with the files of the base system, the given packages and their dependencies.
func (all installedPackages) linkPackages(t *testing.T, packages []string) systemRoot {
	t.Helper()
	found := make(map[string]bool)
	for name, installed := range all {
		if installed.base {
			all.closure(name, found)
		}
	}
	for _, name := range packages {
		require.Contains(t, all, name, "listed package is not installed on this machine: apt-get install %s", name)
		all.closure(name, found)
	}
	arguments := []string{"-L"}
	for name := range found {
		arguments = append(arguments, name)
	}
	output, err := exec.Command("dpkg", arguments...).Output()
	require.NoError(t, err)
	root := systemRoot{folder: t.TempDir()}
	for _, merged := range []string{"bin", "sbin", "lib", "lib64"} { // symbolic links to the folders in usr on machines with a merged /usr
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

// link adds a symbolic link to a file, unless no build needs the file.
func (r systemRoot) link(t *testing.T, path string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil || info.IsDir() || strings.HasPrefix(path, "/usr/share/") || strings.HasPrefix(path, "/etc/") {
		return
	}
	place := filepath.Join(r.folder, path)
	if _, err := os.Lstat(place); err == nil {
		return // listed by two packages, or under both names of a merged folder
	}
	require.NoError(t, os.MkdirAll(filepath.Dir(place), 0o755))
	require.NoError(t, os.Symlink(path, place))
}

// run runs a shell command. The shell finds only the programs of the root and Go; the C compiler finds only the headers,
// libraries and programs of the root.
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

// goEnvironment returns the environment variables that the Go tool needs to find its caches and to fetch modules.
func goEnvironment() []string {
	var env []string
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if name == "HOME" || name == "TMPDIR" || strings.HasPrefix(name, "GO") || strings.HasPrefix(name, "XDG_") ||
			strings.HasSuffix(strings.ToLower(name), "_proxy") || strings.HasPrefix(name, "SSL_CERT_") {
			env = append(env, variable)
		}
	}
	return env
}

// goRoot returns the root folder of the Go toolchain that runs the test, without which no build could work.
func goRoot() (string, error) {
	output, err := exec.Command("go", "env", "GOROOT").Output()
	return strings.TrimSpace(string(output)), err
}

// copyOfSources copies the files of the repository that a build reads, as in a clean checkout, and returns the folder.
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
		case !entry.Type().IsRegular(), path == ".git": // in a git worktree, .git is a regular file
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
