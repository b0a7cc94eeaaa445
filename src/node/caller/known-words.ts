/**
 * Words that the classification of statements relies on. An unlisted word before a parenthesis makes
 * a query a write.
 */

/** Built-in functions that change nothing, whatever their arguments. */
export const readOnlyFunctions = new Set(
	`abs age any_value array_agg array_append array_cat array_dims array_length array_lower array_position
	array_positions array_prepend array_remove array_replace array_to_json array_to_string array_upper
	ascii avg bit_and bit_length bit_or bool_and bool_or btrim cardinality cbrt ceil ceiling char_length
	character_length chr clock_timestamp coalesce col_description concat concat_ws convert_from convert_to
	corr count cume_dist current_database current_schema current_schemas current_setting
	date_bin date_part date_trunc decode degrees dense_rank div encode every exp extract factorial
	first_value floor format format_type gcd gen_random_uuid generate_series generate_subscripts
	get_byte greatest grouping has_column_privilege has_database_privilege has_schema_privilege
	has_table_privilege initcap isfinite json_agg json_array_elements json_array_elements_text
	json_array_length json_build_array json_build_object json_each json_each_text json_extract_path
	json_extract_path_text json_object json_object_agg json_object_keys json_populate_record
	json_populate_recordset json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_agg
	jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
	jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text
	jsonb_object jsonb_object_agg jsonb_object_keys jsonb_path_exists jsonb_path_query
	jsonb_path_query_array jsonb_path_query_first jsonb_populate_record jsonb_pretty jsonb_set
	jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof justify_days justify_hours
	justify_interval lag last_value lcm lead least left length ln localtime localtimestamp log lower
	lpad ltrim make_date make_interval make_time make_timestamp make_timestamptz max md5 min mod mode
	now nth_value ntile nullif num_nonnulls num_nulls obj_description octet_length overlay
	percent_rank percentile_cont percentile_disc pg_backend_pid pg_column_size pg_database_size
	pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_indexdef pg_get_userbyid
	pg_get_viewdef pg_indexes_size pg_is_in_recovery pg_last_wal_replay_lsn pg_postmaster_start_time
	pg_relation_size pg_size_pretty pg_sleep pg_table_is_visible pg_table_size pg_total_relation_size
	pg_type_is_visible pg_typeof phraseto_tsquery pi plainto_tsquery position power quote_ident
	quote_literal quote_nullable radians random range_agg rank regexp_count regexp_like regexp_match
	regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr
	regr_slope repeat replace reverse right round row row_number row_to_json rpad rtrim
	session_user set_bit sha256 sha512 sign similarity sin cos tan split_part sqrt
	starts_with statement_timestamp stddev stddev_pop stddev_samp string_agg string_to_array
	string_to_table strpos substr substring sum timeofday to_char to_date to_hex to_json to_jsonb
	to_number to_regclass to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim
	trim_array trunc ts_headline ts_rank ts_rank_cd tsvector_to_array unnest upper var_pop var_samp
	variance version websearch_to_tsquery width_bucket`.split(/\s+/v),
);

/** Keywords and types that may precede a parenthesis without being a function call. */
export const wordsBeforeParenthesis = new Set(
	`all and any array as between by case cast check cross distinct else except exists filter from
	full group having in inner intersect is join lateral left like ilike limit materialized not
	offset on only or order outer over partition recursive returning right rollup cube sets select
	similar some tablesample then union using values when where window with within
	bit bpchar char character dec decimal float interval numeric time timestamp timestamptz timetz
	varbit varchar varying`.split(/\s+/v),
);

/** Functions that change state of the connection. */
export const sessionStateFunctions = new Set([
	'set_config',
	'setseed',
	'pg_advisory_lock',
	'pg_advisory_lock_shared',
	'pg_try_advisory_lock',
	'pg_try_advisory_lock_shared',
	'pg_advisory_unlock',
	'pg_advisory_unlock_all',
	'pg_advisory_unlock_shared',
]);

/** Keywords that make a query a write wherever they occur. */
export const writeKeywords = new Set([
	'insert',
	'update',
	'delete',
	'merge',
	'into',
]);
