# Experiments under load and the overhead of the path.

.PHONY: bench overhead

bench: build ## run all scenarios under three policies; reports in out/, table in docs/RESULTS.md
	@$(BIN)/sesamectl load --bin $(BIN) --out out --results docs/RESULTS.md

overhead: build ## measure what entry and agent add to calls of an engine
	@$(BIN)/sesamectl overhead --bin $(BIN) --results docs/RESULTS.md
