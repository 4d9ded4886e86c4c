/**
 * Validators of the settings files. The build replaces this module by code that ajv generated from the same schemas
 * beforehand (scripts/build.mjs): compiling them costs more processor time than the rest of the start.
 */
import { Ajv, type ValidateFunction } from 'ajv';
import operatorSchema from '../schema/operator.schema.json' with { type: 'json' };
import platformSchema from '../schema/platform.schema.json' with { type: 'json' };
import { AJV_OPTIONS } from './schema-options.js';

const ajv = new Ajv(AJV_OPTIONS);

/** Checks the settings that the platform hands over, and fills in defaults. */
export const validatePlatform: ValidateFunction = ajv.compile(platformSchema);

/** Checks the operators' own settings, and fills in defaults. */
export const validateOperator: ValidateFunction = ajv.compile(operatorSchema);
