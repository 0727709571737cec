# Experiments under load, and the overhead of entry and agent.

.PHONY: bench overhead

bench: build ## run all scenarios under three policies; write reports to out/ and the table to docs/RESULTS.md
	@$(BIN)/sesamectl load --bin $(BIN) --out out --results docs/RESULTS.md

overhead: build ## measure the overhead of entry and agent on requests to an engine
	@$(BIN)/sesamectl overhead --bin $(BIN) --results docs/RESULTS.md
