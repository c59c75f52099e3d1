package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// File is an open log or snapshot file.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Files is the folder as the store uses it. Tests replace it to cause faults.
type Files interface {
	// List returns the names of the files in the folder.
	List() ([]string, error)
	// Read returns a whole file.
	Read(name string) ([]byte, error)
	// Create opens a new or emptied file for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces to by from.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals lasting.
	SyncDir() error
}

// folder is Files on a real directory.
type folder struct{ dir string }

// Folder returns the Files of a directory, which it creates if needed.
func Folder(dir string) (Files, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create data folder %s: %w; check the setting data_dir", dir, err)
	}
	return folder{dir: dir}, nil
}

func (f folder) path(name string) string { return filepath.Join(f.dir, name) }

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

func (f folder) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o600)
}

func (f folder) Append(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

func (f folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f folder) Remove(name string) error {
	err := os.Remove(f.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

func (f folder) SyncDir() error {
	d, err := os.Open(f.dir)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer d.Close()
	return d.Sync()
}

// SetAside moves the files of a damaged folder into a subfolder named label.
func SetAside(dir, label string) error {
	f := folder{dir: dir}
	names, err := f.List()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(dir, label), 0o700); err != nil {
		return fmt.Errorf("set damaged files aside: %w", err)
	}
	for _, name := range names {
		if err := f.Rename(name, filepath.Join(label, name)); err != nil {
			return fmt.Errorf("set %s aside: %w", name, err)
		}
	}
	return f.SyncDir()
}
