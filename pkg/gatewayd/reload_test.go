package gatewayd

import (
	"reflect"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

func sampleSettings() Settings {
	return Settings{
		VM: "a", FailureDomain: "d", Store: "1.2.3.4:5", Listen: Listen{Callers: "x", Readiness: "y", Peer: "z", Metrics: "m"},
		Limits: Limits{MemoryBytes: 300 << 20, Descriptors: 4000, Cores: 0.4},
		Bounds: Bounds{
			KeyWithdrawal: 5 * time.Second, Grace: 8 * time.Second, MinOrderGap: 3 * time.Second,
			Retry: RetryBounds{Share: 0.2, Reserve: 54, Window: 10 * time.Second},
			Quota: QuotaBounds{Overage: 0.1, Slack: 1000, Window: 8 * time.Second},
		},
	}
}

// change sets v to a different value of its type.
func change(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "'")
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Bool:
		v.SetBool(!v.Bool())
	default:
		t.Fatalf("no different value for type %s", v.Type())
	}
}

// forEachField calls do with each field of v, and of structs in it, that is not itself a struct.
func forEachField(v reflect.Value, name string, do func(name string, v reflect.Value)) {
	if v.Kind() != reflect.Struct {
		do(name, v)
		return
	}
	for i := range v.NumField() {
		forEachField(v.Field(i), name+"."+v.Type().Field(i).Name, do)
	}
}

// Each field of Settings must be compared on a reload, as a reloadable one or as one that needs a restart.
// There are two exceptions: FirstStart describes the past, and LogLevel comes from the command line.
func TestEverySettingIsComparedOnReload(t *testing.T) {
	read := sampleSettings()
	forEachField(reflect.ValueOf(&read).Elem(), "", func(name string, v reflect.Value) {
		old := reflect.New(v.Type()).Elem()
		old.Set(v)
		change(t, v)
		_, applied, waiting := merge(sampleSettings(), read)
		if name == ".FirstStart" || name == ".LogLevel" {
			require.Empty(t, append(applied, waiting...), name)
		} else {
			require.Len(t, append(applied, waiting...), 1, name)
		}
		v.Set(old)
	})
}

func TestReloadAppliesReloadableSettings(t *testing.T) {
	log, lines := test.NewNullLogger()
	read := sampleSettings()
	var loadErr error
	l := newLiveSettings(sampleSettings(), func() (Settings, error) { return read, loadErr }, log)
	l.reload(false)
	require.Empty(t, lines.Entries, "nothing has changed, so nothing must be logged")

	read.Bounds.KeyWithdrawal = 2 * time.Second
	read.Store = "9.9.9.9:9"
	l.reload(false)
	require.Equal(t, 2*time.Second, l.bounds().KeyWithdrawal)
	require.Equal(t, "1.2.3.4:5", l.current.Load().Store)
	require.Equal(t, "settings_reloaded", lines.LastEntry().Data["event"])
	require.Equal(t, []string{"store"}, lines.LastEntry().Data["need_restart"])

	loadErr = errors.New("grace is missing")
	l.reload(false)
	l.reload(false)
	require.Len(t, lines.Entries, 2, "the same error must be logged once")
	require.Equal(t, "settings_refused", lines.LastEntry().Data["event"])
	require.Equal(t, 2*time.Second, l.bounds().KeyWithdrawal)

	loadErr = nil
	l.reload(true)
	require.Equal(t, "settings_reloaded", lines.LastEntry().Data["event"], "a requested reload must be logged even if nothing has changed")
}
