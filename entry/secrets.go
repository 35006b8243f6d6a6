package entry

import (
	"encoding/base64"
	"strings"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/wire"
)

// parseSecrets parses "id=base64,id=base64", the current secret first, the previous one
// optional. The ids are for operators and are ignored here.
func parseSecrets(text string) (wire.Secrets, error) {
	var secrets [][]byte
	for part := range strings.SplitSeq(text, ",") {
		_, encoded, _ := strings.Cut(part, "=")
		secret, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil {
			return wire.Secrets{}, errors.New("secret is not valid base64")
		}
		secrets = append(secrets, secret)
	}
	switch len(secrets) {
	case 1:
		return wire.Secrets{Current: secrets[0]}, nil
	case 2:
		return wire.Secrets{Current: secrets[0], Previous: secrets[1]}, nil
	default:
		return wire.Secrets{}, errors.New("one or two secrets are required")
	}
}
