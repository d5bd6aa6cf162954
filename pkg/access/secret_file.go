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
	// maxSecretBytes limits the size of key files. A PKCS #8 RSA key of 4096 bits
	// takes 3.3 KB.
	maxSecretBytes = 64 << 10
	// maxPathChars is the maximum length in bytes of a path in an error message.
	maxPathChars = 200
)

// writeSecret creates a file with mode 0600. It does not overwrite an existing file.
func writeSecret(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("file %s exists: choose another name or remove it", quotePath(path))
	}
	if err != nil {
		return fmt.Errorf("create file %s: %w", quotePath(path), withoutPath(err))
	}
	if _, err := file.Write(data); err != nil {
		file.Close()
		return fmt.Errorf("write file %s: %w", quotePath(path), withoutPath(err))
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close file %s: %w", quotePath(path), withoutPath(err))
	}
	return nil
}

// readSecret reads a file. It refuses a file that users other than its owner may
// access.
func readSecret(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open file %s: %w", quotePath(path), withoutPath(err))
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("read file %s: %w", quotePath(path), withoutPath(err))
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("file %s has mode %04o: only its owner may read it, use chmod 600", quotePath(path), mode)
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxSecretBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read file %s: %w", quotePath(path), withoutPath(err))
	}
	if len(raw) > maxSecretBytes {
		return nil, fmt.Errorf("file %s is larger than %d bytes", quotePath(path), maxSecretBytes)
	}
	return raw, nil
}

// withoutPath removes the path from a file error, because a setting that should
// hold a path may hold the key itself.
func withoutPath(err error) error {
	var path *fs.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}

// quotePath returns a path quoted for an error message, or a placeholder if it
// looks like a secret.
func quotePath(path string) string {
	if looksLikeSecret(path) {
		return "(the setting holds a key where a file name is expected)"
	}
	return fmt.Sprintf("%q", path)
}

func looksLikeSecret(path string) bool {
	return len(path) > maxPathChars ||
		strings.ContainsAny(path, "\r\n") ||
		strings.Contains(path, "PRIVATE KEY") ||
		strings.HasPrefix(path, APIKeyPrefix) ||
		strings.HasPrefix(path, pkcs8Ed25519Prefix)
}

// pkcs8Ed25519Prefix is the start of every Ed25519 private key as base64 of PKCS #8.
const pkcs8Ed25519Prefix = "MC4CAQAwBQYDK2Vw"
