package clemspread

import "github.com/clementineturn/clementineturn/clemroute"

func setCentre(*Config, string)      {}
func newTestTable() *clemroute.Table { return &clemroute.Table{} }
