package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/cmd"
)

const document = `{"version": 7, "deployment": "kgosi", "regions": ["kzn"], "homes": [],
 "classes": [{"name": "long", "urgency": 1, "first": 8000, "between": 54, "deadline": 120000, "tokens": 0, "share": 0.75}],
 "services": [{"name": "order-desk", "kind": "plain", "regions": ["kzn"], "validity": 60000,
   "calls": [{"method": "POST", "path": "/orders", "idempotent": false}]}],
 "limits": {"body": 1048576, "queue": 512, "caller": 64, "answers": 16777216, "loads": 1},
 "retry": {"share": 0.1, "burst": 10, "attempts": 3},
 "weights": {"away": 1, "cost": 1, "short": 1, "tail": 1}, "links": []}`

// runBundle runs a bundle command and returns its exit status and output.
func runBundle(t *testing.T, args ...string) (status int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	status = cmd.Run(t.Context(), append([]string{"tanagerbridge", "bundle"}, args...), &o, &e)
	return status, o.String(), e.String()
}

// runsBundle is runBundle for a command that must succeed.
func runsBundle(t *testing.T, args ...string) string {
	t.Helper()
	status, out, errOut := runBundle(t, args...)
	require.Zero(t, status, errOut)
	return out
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against a rollout whose steps don't fit together: what keygen makes
// must sign, and show must verify it.
func TestBundleRollout(t *testing.T) {
	private := filepath.Join(t.TempDir(), "k1")
	public := strings.TrimSpace(runsBundle(t, "keygen", "--id", "k1", "--private", private))
	info, err := os.Stat(private)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	require.Contains(t, runsBundle(t, "check", writeFile(t, "doc", document)), "version 7 of deployment kgosi")
	signed := writeFile(t, "signed", runsBundle(t, "sign", "--private", private, writeFile(t, "doc", document)))
	require.Contains(t, runsBundle(t, "show", signed), "key k1, signature not verified\n")
	shown := runsBundle(t, "show", "--bundle-keys", public, signed)
	require.Contains(t, shown, "key k1, signature verified\n")
	require.Contains(t, shown, "service order-desk: plain in [kzn], 1 calls\n")
	require.Zero(t, strings.Compare(document, runsBundle(t, "show", "--body", signed)), "the document must come out byte by byte")
	next := writeFile(t, "next", strings.Replace(document, `"version": 7`, `"version": 8`, 1))
	runsBundle(t, "sign", "--private", private, "--after", signed, next)
}

// Guards against commands that seem to succeed, overwrite a key, or leave the
// operator without the reason.
func TestBundleErrors(t *testing.T) {
	private := filepath.Join(t.TempDir(), "k1")
	runsBundle(t, "keygen", "--id", "k1", "--private", private)
	other := strings.TrimSpace(runsBundle(t, "keygen", "--id", "k1", "--private", private+"-other"))
	doc := writeFile(t, "doc", document)
	signed := writeFile(t, "signed", runsBundle(t, "sign", "--private", private, doc))
	hedged := writeFile(t, "hedged", strings.Replace(document, `"idempotent": false`, `"idempotent": false, "hedge": true`, 1))
	cases := []struct {
		name, want string
		args       []string
	}{
		{"key exists", "file exists", []string{"keygen", "--id", "k2", "--private", private}},
		{"key id", "id \"k 1\" is not a name", []string{"keygen", "--id", "k 1", "--private", private + "-more"}},
		{"no file", "want one FILE", []string{"check"}},
		{"missing file", "no such file", []string{"check", doc + "-missing"}},
		{"path", "tanagerbridge: services[0].calls[0].hedge: ", []string{"check", hedged}},
		{"sign invalid", "tanagerbridge: services[0].calls[0].hedge: ", []string{"sign", "--private", private, hedged}},
		{"not a key", "want id=base64", []string{"sign", "--private", doc, doc}},
		{"version not higher", "version: 7 is not above 7", []string{"sign", "--private", private, "--after", signed, doc}},
		{"other key", "signature does not match", []string{"show", "--bundle-keys", other, signed}},
		{"not signed", "signed form: invalid: version: ", []string{"show", doc}},
		{"bad keys", "--bundle-keys: ", []string{"show", "--bundle-keys", "k1", signed}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, out, errOut := runBundle(t, c.args...)
			require.Equal(t, 1, status)
			require.Empty(t, out)
			require.Contains(t, errOut, c.want)
		})
	}
}
