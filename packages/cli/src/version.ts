/** Version of the program; a test keeps it equal to package.json. */
export const VERSION = '0.1.0';
