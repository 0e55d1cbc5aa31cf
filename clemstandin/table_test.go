package clemstandin

import (
	"testing"

	"github.com/stretchr/testify/require"

	clementineturn "github.com/clementineturn/clementineturn"
)

func TestTableLostAnswerTakesEffect(t *testing.T) {
	table := NewTable()
	table.Inject(TableFaults{LostAnswers: 1})
	_, err := table.Put(t.Context(), "a", []byte("1"), "")
	require.True(t, clementineturn.IsKind(err, clementineturn.KindUnknown))
	row, err := table.Get(t.Context(), "a")
	require.NoError(t, err)
	require.Equal(t, "1", string(row.Value()))
	_, err = table.Put(t.Context(), "a", []byte("2"), "")
	require.True(t, clementineturn.IsKind(err, clementineturn.KindConflict))
}
