package slots

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// File is an open file of a Folder. It is only appended to.
type File interface {
	Write(data []byte) (int, error)
	Sync() error // the written data and the file length are on disk
	Close() error
}

// Folder is the directory of a store's files. Names refer to files directly in it.
type Folder interface {
	// Read returns a file's content. If the file does not exist, the error is fs.ErrNotExist.
	Read(name string) ([]byte, error)
	// Open opens a file, creates it if it does not exist, truncates it to size and appends from there.
	Open(name string, size int64) (File, error)
	Remove(name string) error
	// Rename renames a file, and replaces any file of the new name. If the file does not exist, the error is
	// fs.ErrNotExist.
	Rename(name, to string) error
	Sync() error // created, renamed and removed names are on disk
}

// OSFolder is a directory of the operating system.
type OSFolder string

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Read implements Folder.
func (d OSFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(string(d), name))
}

// Open implements Folder.
func (d OSFolder) Open(name string, size int64) (File, error) {
	path := filepath.Join(string(d), name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if errors.Is(err, fs.ErrNotExist) { // the disk was full when the store was opened
		if err := os.MkdirAll(string(d), folderMode); err != nil {
			return nil, err
		}
		file, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	}
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	if _, err := file.Seek(size, 0); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return osFile{file}, nil
}

// Remove implements Folder.
func (d OSFolder) Remove(name string) error {
	err := os.Remove(filepath.Join(string(d), name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// Rename implements Folder.
func (d OSFolder) Rename(name, to string) error {
	return os.Rename(filepath.Join(string(d), name), filepath.Join(string(d), to))
}

// Sync implements Folder.
func (d OSFolder) Sync() error {
	folder, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

type osFile struct{ *os.File }

// Sync implements File.
func (f osFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
