package table

import "time"

func (c Cells) text(name string) string {
	s, _ := c[name].(string)
	return s
}

func (c Cells) number(name string) float64 {
	n, _ := c[name].(float64)
	return n
}

func (c Cells) integer(name string) int {
	n, _ := c[name].(int64)
	return int(n)
}

func (c Cells) boolean(name string) bool {
	b, _ := c[name].(bool)
	return b
}

func (c Cells) duration(name string) time.Duration {
	d, _ := c[name].(time.Duration)
	return d
}
