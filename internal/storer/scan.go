package storer

import "context"

const pageRows = 500

// ScanAll returns all rows with the prefix; it reads them page by page.
func ScanAll(ctx context.Context, t Table, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, err := t.Scan(ctx, prefix, after, pageRows)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if len(page) < pageRows {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}
