/** The options with which ajv compiles the schemas, both at run time and in the build. */
export const AJV_OPTIONS = { useDefaults: true, strict: false, logger: false } as const;
