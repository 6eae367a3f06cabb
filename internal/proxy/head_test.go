package proxy

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowsliparch/cowsliparch/internal/catalog"
	"github.com/cowsliparch/cowsliparch/internal/dispatch"
	"github.com/cowsliparch/cowsliparch/internal/roster"
)

func newRequest() *dispatch.Request {
	return &dispatch.Request{
		ID:     "id-1",
		Method: http.MethodPost,
		URI:    "/chat/?q=%ff",
		Path:   "/chat/",
		Host:   "h.example",
		Header: http.Header{
			"X-Latin": {"caf\xe9", "second"},
			"x-lower": {"kept"},
		},
		Identity: dispatch.Identity{
			Key:    catalog.DigestKey("b"),
			Header: http.Header{"Authorization": {"Bearer b"}},
		},
		Body:         []byte("\x00body\xff"),
		Model:        "m",
		Adapter:      "a",
		PromptTokens: 7,
		MaxTokens:    9,
		PromptSections: []dispatch.PromptSection{{
			ID:     "s",
			Tokens: 5,
		}},
		ResumeAfter: "3",
		Resumes:     "id-0",
		Arrived:     time.Unix(1000, 0),
		MaxWait:     time.Minute,
	}
}

// All that the other VM needs must arrive, bytes that aren't UTF-8 included, except for the digest of the key.
func TestRequestIsCarriedWhole(t *testing.T) {
	release := ""
	proxied := dispatch.Proxied{
		VM:       "p",
		Version:  4,
		Account:  "acme",
		Attempts: 2,
		Release:  &release,
	}
	sent := newRequest()
	client := NewClient("p", nil, dispatch.RoundTrips{
		FailureDomain: "a",
		Regions:       map[string]string{"a": "r", "b": "s"},
	}, nil)
	encoded, err := encodeHead(client.newRequestHead(sent, dispatch.Attempt{
		Remaining:   2 * time.Second,
		ResumeAfter: "12",
		Proxied: &dispatch.Proxied{
			Version:  4,
			Account:  "acme",
			Attempts: 2,
			Release:  &release,
		},
	}, &roster.Runner{FailureDomain: "b"}))
	require.NoError(t, err)
	var head requestHead
	n, err := readHead(bytes.NewReader(encoded), &head, nil)
	require.NoError(t, err)
	require.Len(t, encoded, n)
	want := *sent
	want.Identity.Key = catalog.KeyDigest{}
	want.ResumeAfter = "12"
	want.Arrived = time.Unix(2000, 0)
	want.MaxWait = 1970 * time.Millisecond
	want.Proxied = &proxied
	require.Equal(t, &want, head.request(sent.Body, time.Unix(2000, 0)))
	require.Nil(t, (&requestHead{}).request(nil, time.Time{}).Proxied.Release)
	require.NotNil(t, (&requestHead{}).request(nil, time.Time{}).Header)
}

// A release that is not known must not arrive as an empty one.
func TestUnknownReleaseStaysUnknown(t *testing.T) {
	encoded, err := encodeHead(requestHead{})
	require.NoError(t, err)
	var head requestHead
	_, err = readHead(bytes.NewReader(encoded), &head, nil)
	require.NoError(t, err)
	require.Nil(t, head.Proxied.Release)
}

func TestHeadsAreLimited(t *testing.T) {
	var tooLarge *HeadTooLargeError
	_, err := encodeHead(responseHead{Runner: strings.Repeat("r", maxHeadBytes)})
	require.ErrorAs(t, err, &tooLarge)
	var head responseHead
	_, err = readHead(bytes.NewReader(binary.BigEndian.AppendUint32(nil, maxHeadBytes+1)), &head, nil)
	require.ErrorAs(t, err, &tooLarge)
	_, err = readHead(bytes.NewReader(binary.BigEndian.AppendUint32(nil, 5)), &head, nil)
	require.ErrorIs(t, err, io.EOF)
	errFull := errors.New("full")
	_, err = readHead(bytes.NewReader(binary.BigEndian.AppendUint32(nil, 5)), &head, func(bytes int) error {
		require.Equal(t, prefixBytes+5, bytes)
		return errFull
	})
	require.ErrorIs(t, err, errFull)
}

// Fields that a later release adds must be ignored.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	encoded, err := encodeHead(map[string]any{"Status": 200, "Later": []int{1}})
	require.NoError(t, err)
	var head responseHead
	_, err = readHead(bytes.NewReader(encoded), &head, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, head.Status)
}
