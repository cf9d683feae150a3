package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWatchReportsChangedValidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.conf")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(example)
	ctx, cancel := context.WithCancel(context.Background())
	hangup := make(chan os.Signal)
	notified := make(chan string, 4)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, path, hangup, func(s *Settings) { notified <- s.Node }, func(error) { notified <- "refused" })
	}()
	hangup <- os.Interrupt // the content is unchanged: no notification
	write(strings.Replace(example, "nodeName=edge-a-1", "nodeName=other", 1))
	hangup <- os.Interrupt
	require.Equal(t, "other", <-notified)
	write("nodeName=\n")
	hangup <- os.Interrupt
	require.Equal(t, "refused", <-notified)
	cancel()
	<-done
	require.Empty(t, notified)
}
