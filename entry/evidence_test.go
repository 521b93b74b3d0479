package entry_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/credentials/insecure"

	"quincewinch/models"
	peerdaemon "quincewinch/peer/daemon"
)

// Guards against evidence of other daemons that is received but not used.
func TestPartThatAnotherDaemonBlockedIsRefused(t *testing.T) {
	is := is.New(t)
	d := start(t)
	d.startChatEngine("i-chat", "v1")
	address := freeAddress(t)
	d.startDaemon("vm-3", address) // has read the registration of the engine
	var traffic peerdaemon.Traffic
	client := peerdaemon.NewClient(insecure.NewCredentials(), time.Minute, &traffic)
	defer client.Close()
	blocked := models.Prompt{Parts: []models.PromptPart{{ID: "bad"}, {ID: "own"}}}.SharedParts()[0]
	_, err := client.Share(t.Context(), netip.MustParseAddrPort(d.daemonsAddress), models.LoadShare{
		From: "vm-2", Zone: "z", Address: netip.MustParseAddrPort("127.0.0.1:1"), Sequence: 1,
		Evidence: &models.CrashEvidence{Blocks: []models.PartBlock{{ID: blocked, Duration: time.Minute, Count: 1}}},
	})
	is.NoErr(err)
	status, text := d.chat(address, "r1", map[string]string{"Prompt-Prefix": "a:100,bad:50,b:10"})
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(text, string(models.RefusalQuarantined)))
	status, _ = d.chat(address, "r2", map[string]string{"Prompt-Prefix": "a:100,bad:10"})
	is.Equal(status, http.StatusOK) // its last part is its own
}
