package loader

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// ReadSecret returns the content of a token or key file without surrounding white space. An empty
// name gives an empty secret.
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

// ReadSecrets returns the contents of several files in their order.
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
