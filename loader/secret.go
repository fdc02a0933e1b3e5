package loader

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// ReadSecret returns the content of a token or key file without surrounding white space. It returns an
// empty secret for an empty name.
func ReadSecret(name string) (string, error) {
	if name == "" {
		return "", nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Wrap(err, "read secret")
	}
	secret := strings.TrimSpace(string(text))
	if secret == "" {
		return "", errors.Errorf("secret file %q is empty", name)
	}
	return secret, nil
}

// ReadSecrets returns the contents of token or key files in the order of names.
func ReadSecrets(names []string) ([][]byte, error) {
	secrets := make([][]byte, 0, len(names))
	for _, name := range names {
		secret, err := ReadSecret(name)
		if err != nil {
			return nil, err
		}
		secrets = append(secrets, []byte(secret))
	}
	return secrets, nil
}
