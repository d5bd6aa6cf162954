package access

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

const (
	// maxSecretBytes bounds key files. A PKCS #8 RSA key of 4096 bits takes 3.3 KB.
	maxSecretBytes = 64 << 10
	// maxNameShown is the longest file name that errors repeat.
	maxNameShown = 200
)

// writeSecret creates a file with mode 0600. It never replaces a file.
func writeSecret(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("file %s exists: choose another name or remove it", fileName(path))
	}
	if err != nil {
		return fmt.Errorf("create file %s: %w", fileName(path), cause(err))
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return fmt.Errorf("write file %s: %w", fileName(path), cause(err))
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close file %s: %w", fileName(path), cause(err))
	}
	return nil
}

// readSecret reads a file and refuses one that others than its owner may use.
func readSecret(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open file %s: %w", fileName(path), cause(err))
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("read file %s: %w", fileName(path), cause(err))
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("file %s has mode %04o: only its owner may read it, use chmod 600", fileName(path), mode)
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxSecretBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read file %s: %w", fileName(path), cause(err))
	}
	if len(raw) > maxSecretBytes {
		return nil, fmt.Errorf("file %s is larger than %d bytes", fileName(path), maxSecretBytes)
	}
	return raw, nil
}

// cause strips the path from a file error, because a setting that should name
// a file may hold the key itself.
func cause(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}

// fileName returns a path for an error message unless it looks like a secret.
func fileName(path string) string {
	if looksSecret(path) {
		return "(the setting holds a key where a file name is expected)"
	}
	return fmt.Sprintf("%q", path)
}

func looksSecret(path string) bool {
	return len(path) > maxNameShown ||
		strings.ContainsAny(path, "\r\n") ||
		strings.Contains(path, "PRIVATE KEY") ||
		strings.HasPrefix(path, APIKeyPrefix) ||
		strings.HasPrefix(path, pkcs8Ed25519Base64)
}

// pkcs8Ed25519Base64 starts every Ed25519 private key in PKCS #8 form.
const pkcs8Ed25519Base64 = "MC4CAQAwBQYDK2Vw"
