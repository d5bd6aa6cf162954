package access

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/x509"
	"encoding/pem"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against short or repeated API keys, against a hash that differs from the
// hex SHA-256 in bundles, and against misreading the Authorization header.
func TestAPIKey(t *testing.T) {
	a, b := NewAPIKey(), NewAPIKey()
	assert.Assert(t, a != b)
	assert.Equal(t, len(a), len(APIKeyPrefix)+43)
	assert.Equal(t, HashAPIKey("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
	assert.Equal(t, BearerToken("Bearer "+a), a)
	assert.Equal(t, BearerToken("bearer  "+a), a)
	assert.Equal(t, BearerToken(a), "")
	assert.Equal(t, BearerToken("Basic "+a), "")
}

// Guards against returning the wrong owner, or any owner for an unknown key.
func TestKeyIndex(t *testing.T) {
	x := NewKeyIndex[string]()
	x.Add(HashAPIKey("one"), "regie")
	x.Add(HashAPIKey("two"), "office")
	owner, ok := x.Find(HashAPIKey("two"))
	assert.Assert(t, ok && owner == "office")
	for _, hash := range []string{"", HashAPIKey("three"), HashAPIKey("one")[:63]} {
		owner, ok = x.Find(hash)
		assert.Assert(t, !ok && owner == "", hash)
	}
}

// Guards against key files that other users can read, and against overwriting an
// existing key.
func TestKeyFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "operator.pem")
	key, err := NewOperatorKey()
	assert.NilError(t, err)
	assert.NilError(t, WriteOperatorKey(path, key))
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), secretMode)
	again, err := ReadOperatorKey(path)
	assert.NilError(t, err)
	assert.Assert(t, key.Equal(again))
	assert.ErrorContains(t, WriteOperatorKey(path, key), "exists")
	assert.NilError(t, os.Chmod(path, 0o640))
	_, err = ReadOperatorKey(path)
	assert.ErrorContains(t, err, "chmod 600")

	path = filepath.Join(dir, "caller.key")
	assert.NilError(t, WriteAPIKey(path, "ppk_x"))
	text, err := ReadAPIKey(path)
	assert.NilError(t, err)
	assert.Equal(t, text, "ppk_x")
}

// Guards against error messages that contain a part of a secret, which may come
// from the file or from a setting that holds the key instead of a file name.
func TestErrorsDoNotContainSecrets(t *testing.T) {
	dir := t.TempDir()
	operator, err := NewOperatorKey()
	assert.NilError(t, err)
	assert.NilError(t, WriteOperatorKey(filepath.Join(dir, "good.pem"), operator))
	good, err := os.ReadFile(filepath.Join(dir, "good.pem"))
	assert.NilError(t, err)
	secrets := map[string]string{
		"whole":     string(good),
		"cut":       string(good[:len(good)-40]),
		"no header": strings.Split(string(good), "\n")[1],
		"api key":   NewAPIKey(),
		"rsa":       rsaKey(t),
	}
	for name, secret := range secrets {
		path := filepath.Join(dir, strings.ReplaceAll(name, " ", "-"))
		assert.NilError(t, os.WriteFile(path, []byte(secret), 0o600))
		for _, argument := range []string{path, secret, filepath.Join(dir, "absent")} {
			for _, err := range errorsFor(argument) {
				assertNoSecret(t, err, secret)
			}
		}
	}
}

// errorsFor calls every function that reads from a path and returns the errors.
func errorsFor(path string) []error {
	_, operator := ReadOperatorKey(path)
	_, server := ServerTLS(TLSFiles{Cert: path, Key: path})
	_, mutualServer := MutualServerTLS(TLSFiles{Cert: path, Key: path, CA: path})
	_, mutualClient := MutualClientTLS(TLSFiles{Cert: path, Key: path, CA: path})
	_, client := ClientTLS(path)
	_, apiKey := ReadAPIKey(path)
	_, ca := loadCA(path)
	return []error{operator, server, mutualServer, mutualClient, client, apiKey, ca}
}

// assertNoSecret requires that the message contains no 12 consecutive characters
// of a line of the secret. PEM begin and end lines are ignored.
func assertNoSecret(t *testing.T, err error, secret string) {
	t.Helper()
	if err == nil {
		return
	}
	for line := range strings.SplitSeq(secret, "\n") {
		if strings.HasPrefix(line, "-----") {
			continue
		}
		for i := 0; i+12 <= len(line); i++ {
			assert.Assert(t, !strings.Contains(err.Error(), line[i:i+12]), "secret in error")
		}
	}
}

func rsaKey(t *testing.T) string {
	t.Helper()
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	assert.NilError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	return string(pem.EncodeToMemory(&pem.Block{Type: operatorKeyType, Bytes: der}))
}
