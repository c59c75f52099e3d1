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

// FS is the part of the file system that a Store uses: the files of one data
// folder. Tests replace it to inject faults.
type FS interface {
	// List returns the names of the files in the folder.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates or truncates a file and opens it for writing.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename renames a file and replaces an existing one at to.
	Rename(from, to string) error
	// Remove deletes a file. It is no error if the file does not exist.
	Remove(name string) error
	// SyncDir makes created, renamed and removed files durable.
	SyncDir() error
}

// dirFS implements FS on a directory of the operating system.
type dirFS struct{ dir string }

// DirFS returns the FS of a directory, which it creates if it does not exist.
func DirFS(dir string) (FS, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create data folder %s: %w; check the setting data_dir", dir, err)
	}
	return dirFS{dir: dir}, nil
}

func (f dirFS) path(name string) string { return filepath.Join(f.dir, name) }

func (f dirFS) List() ([]string, error) {
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

func (f dirFS) Read(name string) ([]byte, error) { return os.ReadFile(f.path(name)) }

func (f dirFS) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, 0o600)
}

func (f dirFS) Append(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

func (f dirFS) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f dirFS) Remove(name string) error {
	err := os.Remove(f.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

func (f dirFS) SyncDir() error {
	d, err := os.Open(f.dir)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer d.Close()
	return d.Sync()
}

// Quarantine moves all files of a corrupted data folder into a new subfolder,
// so that the folder can be opened under a new disk identity.
func Quarantine(dir, subfolder string) error {
	f := dirFS{dir: dir}
	names, err := f.List()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(dir, subfolder), 0o700); err != nil {
		return fmt.Errorf("create the folder for corrupted files: %w", err)
	}
	for _, name := range names {
		if err := f.Rename(name, filepath.Join(subfolder, name)); err != nil {
			return fmt.Errorf("move corrupted file %s: %w", name, err)
		}
	}
	return f.SyncDir()
}
